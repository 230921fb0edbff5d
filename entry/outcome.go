package entry

import (
	"net/http"
	"strconv"
)

// outcome is the result of a client's call. The codes are listed in docs/ERRORS.md.
type outcome struct {
	code   int
	status int
	text   string
}

// Outcomes. 1xxx: success; 2xxx: rejected, nothing is run because of this call; 3xxx: unknown whether the submitted job
// exists; 5xxx: the call is invalid. A cancellation that ends with storeUnavailable may have been stored.
var (
	accepted        = outcome{1301, http.StatusOK, "accepted"}
	stateReturned   = outcome{1302, http.StatusOK, "state"}
	cancelled       = outcome{1303, http.StatusOK, "cancelled"}
	pendingReturned = outcome{1304, http.StatusOK, "pending"}

	noBundle          = outcome{2301, http.StatusServiceUnavailable, "no configuration yet"}
	bundleReadFailed  = outcome{2302, http.StatusServiceUnavailable, "the newest configuration cannot be read"}
	noQueue           = outcome{2303, http.StatusNotFound, "no such queue"}
	unknownKey        = outcome{2304, http.StatusUnauthorized, "unknown key"}
	storeUnresponsive = outcome{2305, http.StatusServiceUnavailable, "the store does not answer; not run"}
	storeRejected     = outcome{2306, http.StatusServiceUnavailable, "the store refused the job; not run"}
	bundleChanging    = outcome{2307, http.StatusServiceUnavailable, "the configuration keeps changing; not run"}
	noJob             = outcome{2308, http.StatusGone, "no such job"}
	storeUnavailable  = outcome{2309, http.StatusServiceUnavailable, "the store does not answer"}
	noOwner           = outcome{2310, http.StatusServiceUnavailable, "no host owns the fleet"}
	cancelledBefore   = outcome{2311, http.StatusGone, "the job was cancelled before it was stored; not run"}
	notSent           = outcome{2312, http.StatusServiceUnavailable, "the store could not be reached; not run"}
	noRoom            = outcome{2313, http.StatusServiceUnavailable, "no room for the connection; not run"}
	noRoomForBody     = outcome{2314, http.StatusServiceUnavailable, "no room for the body; not run"}
	bodyStalled       = outcome{2315, http.StatusServiceUnavailable, "the body made no progress; not run"}

	jobUncertain = outcome{3301, http.StatusGatewayTimeout, "the store did not answer; the job may exist"}

	badMethod  = outcome{5301, http.StatusMethodNotAllowed, "method not allowed"}
	badID      = outcome{5302, http.StatusBadRequest, "not a job ID"}
	badBody    = outcome{5303, http.StatusBadRequest, "the body cannot be read"}
	largeBody  = outcome{5304, http.StatusRequestEntityTooLarge, "the body is too large"}
	badRequest = outcome{5305, http.StatusBadRequest, "the job cannot be run as described"}
)

// body returns the response body for outcomes that carry no other data.
func (o outcome) body() []byte {
	return []byte(`{"code":` + strconv.Itoa(o.code) + `,"message":` + strconv.Quote(o.text) + `}`)
}
