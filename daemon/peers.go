package daemon

import (
	"context"
	"time"

	"citrongauge.example/citrongauge/api"
	"citrongauge.example/citrongauge/control"
	"citrongauge.example/citrongauge/peer"
	"citrongauge.example/citrongauge/requestid"
	"citrongauge.example/citrongauge/result"
)

// leavingNotice tells peers that an upstream rejected work because it is leaving, that is, draining or shutting down
// (see upstream.ErrLeaving).
type leavingNotice struct {
	Host string `cbor:"1,keyasint"`
	// Hops is the number of times the notice was forwarded. Relays forward it while Hops is below maxNoticeHops, so
	// that it does not circulate forever.
	Hops uint8 `cbor:"2,keyasint,omitempty"`
}

const maxNoticeHops = 2

// HandleMessage implements peer.Handler.
func (d *Daemon) HandleMessage(from peer.Identity, t peer.Type, body []byte) {
	inc := d.inc.Load()
	if inc == nil {
		return
	}
	if err := inc.receive(from, t, body); err != nil {
		d.log.Warn("peer message rejected", "component", "peer", "from", from.ID, "type", int(t), "err", err)
	}
}

func (inc *incarnation) receive(from peer.Identity, t peer.Type, body []byte) error {
	member := control.Member{ID: from.ID, Zone: from.Zone, Address: from.Address}
	switch t {
	case peer.TypeHeartbeat:
		heartbeat, err := control.DecodeHeartbeat(body)
		if err != nil {
			return err
		}
		inc.loop.post(control.HeartbeatReceived{From: member, Heartbeat: heartbeat})
	case peer.TypeRecord:
		return inc.receiveRecord(member, body)
	case peer.TypeLoad:
		return inc.receiveLoad(from, body)
	case peer.TypeUpstreamNotice:
		var m leavingNotice
		if err := peer.Decode(body, &m); err != nil {
			return err
		}
		inc.receiveLeavingNotice(m)
	default:
		return result.Errorf(result.PeerProtocol, "unexpected message type %d", t)
	}
	return nil
}

func (inc *incarnation) receiveRecord(from control.Member, body []byte) error {
	var m recordMessage
	if err := peer.Decode(body, &m); err != nil {
		return err
	}
	record, err := control.DecodeRecord(m.Record)
	if err != nil {
		return err
	}
	inc.loop.post(control.RecordPushed{From: from, Record: record, Bundle: m.Bundle})
	return nil
}

func (inc *incarnation) receiveLoad(from peer.Identity, body []byte) error {
	var m loadMessage
	if err := peer.Decode(body, &m); err != nil {
		return err
	}
	s := inc.loop.state.Load()
	if s == nil || s.index == nil {
		return nil
	}
	now := time.Now()
	report, ok := decodeReport(s.index.Bundle, m, now)
	if !ok {
		return nil
	}
	name := from.ID
	if m.Zone != "" {
		name = m.Zone
	} else if from.Zone != inc.self.Zone {
		return nil
	}
	inc.peerLoads.update(name, m.Zone, report)
	inc.scheduler.SetPeerLoad(name, now, report.loads)
	inc.wakeScheduler()
	return nil
}

// notifyLeaving notifies the neighbours that an upstream rejected work because it is leaving.
func (inc *incarnation) notifyLeaving(host string) {
	inc.sendLeavingNotice(leavingNotice{Host: host})
}

func (inc *incarnation) receiveLeavingNotice(m leavingNotice) {
	inc.d.routingTable.RecordLeaving(m.Host, time.Now())
	if m.Hops < maxNoticeHops {
		inc.sendLeavingNotice(leavingNotice{Host: m.Host, Hops: m.Hops + 1})
	}
}

// sendLeavingNotice sends a notice to the neighbours; only relays forward one that they received. A notice reaches all
// hosts in at most three hops: to the relay of the sender's zone, to the relays of the other zones, and to the hosts of
// their zones.
func (inc *incarnation) sendLeavingNotice(m leavingNotice) {
	go func() {
		_ = inc.loop.do(inc.ctx, func(now time.Time) {
			if m.Hops > 0 && !inc.loop.core.IsRelay() {
				return
			}
			for _, member := range inc.loop.currentNeighbours(now) {
				inc.d.node.Send(member.Address, member.ID, peer.TypeUpstreamNotice, m)
			}
		})
	}()
}

// HandleCall implements peer.Handler. It serves forwarded calls on request IDs that this host issued.
func (d *Daemon) HandleCall(ctx context.Context, from peer.Identity, t peer.Type, body []byte) (any, error) {
	if t != peer.TypeForward {
		return nil, result.Errorf(result.PeerProtocol, "unexpected call type %d", t)
	}
	var m forwardMessage
	if err := peer.Decode(body, &m); err != nil {
		return nil, err
	}
	return d.inc.Load().answerForward(ctx, m), nil
}

func (inc *incarnation) answerForward(ctx context.Context, m forwardMessage) api.Answer {
	id, err := requestid.Parse(m.RequestID, inc.d.secret)
	if err != nil {
		return api.AnswerFromError(result.FromError(err, result.RequestMalformed))
	}
	if id.Issuer != inc.self.ID {
		return inc.answerFromOutcome(m.RequestID, requestid.Outcome{Code: result.OwnerUnreachable})
	}
	if m.Kind != forwardSubmit {
		return inc.statusOrCancelLocal(ctx, id, m)
	}
	return inc.submitLocal(ctx, id, m)
}
