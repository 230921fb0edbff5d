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

// noticeMessage tells peers that an upstream refused work because it is leaving.
type noticeMessage struct {
	Host string `cbor:"1,keyasint"`
	// Hops keeps a notice from being passed on for ever: a relay passes it on once.
	Hops uint8 `cbor:"2,keyasint,omitempty"`
}

const maxNoticeHops = 2

// Receive implements peer.Handler.
func (d *Daemon) Receive(from peer.Identity, t peer.Type, body []byte) {
	inc := d.inc.Load()
	if inc == nil {
		return
	}
	if err := inc.receive(from, t, body); err != nil {
		d.log.Warn("message refused", "component", "peer", "from", from.ID, "type", int(t), "err", err)
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
		var m noticeMessage
		if err := peer.Decode(body, &m); err != nil {
			return err
		}
		inc.receiveNotice(m)
	default:
		return result.Errorf(result.PeerProtocol, "unexpected type %d", t)
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
	inc.loads.take(name, m.Zone, report)
	inc.scheduler.SetPeerLoad(name, now, report.loads)
	inc.wakeScheduler()
	return nil
}

// tellLeaving tells the neighbours that an upstream refused work because it is leaving.
func (inc *incarnation) tellLeaving(host string) {
	inc.sendNotice(noticeMessage{Host: host})
}

func (inc *incarnation) receiveNotice(m noticeMessage) {
	inc.d.table.NoteLeaving(m.Host, time.Now())
	if m.Hops < maxNoticeHops {
		inc.sendNotice(noticeMessage{Host: m.Host, Hops: m.Hops + 1})
	}
}

// sendNotice sends a notice to the neighbours. A notice reaches all hosts in at most three hops: to the own relay, to
// the other relays, to the hosts of their zones.
func (inc *incarnation) sendNotice(m noticeMessage) {
	go func() {
		_ = inc.loop.call(inc.ctx, func(now time.Time) {
			if m.Hops > 0 && !inc.loop.core.IsRelay() {
				return
			}
			for _, member := range inc.loop.currentNeighbours(now) {
				inc.d.node.Send(member.Address, member.ID, peer.TypeUpstreamNotice, m)
			}
		})
	}()
}

// Answer implements peer.Handler: it serves callers' calls on request IDs that this host issued.
func (d *Daemon) Answer(ctx context.Context, from peer.Identity, t peer.Type, body []byte) (any, error) {
	if t != peer.TypeForward {
		return nil, result.Errorf(result.PeerProtocol, "unexpected call %d", t)
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
		return api.AnswerOf(result.As(err, result.RequestMalformed))
	}
	if id.Issuer != inc.self.ID {
		return inc.answerOf(m.RequestID, requestid.Outcome{Code: result.OwnerUnreachable})
	}
	if m.Kind != forwardSubmit {
		return inc.lookupOwn(ctx, id, m)
	}
	return inc.submitOwn(ctx, id, m)
}
