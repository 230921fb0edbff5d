package fleet_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a key of one team that shows or cancels another team's job by its ID.
func TestJobOfAnotherTeamIsNotShownOrCancelled(t *testing.T) {
	is := is.New(t)
	h := startFleetWithHost(t)
	defer h.stop()
	const otherKey = "other-key"
	var bundle map[string]any
	is.NoErr(json.Unmarshal(h.fleet.Store.Value("op/config"), &bundle))
	bundle["version"] = 2
	bundle["tenants"] = append(bundle["tenants"].([]any), map[string]any{"name": "others", "api_keys": []string{otherKey}, "weight": 1})
	data, err := json.Marshal(bundle)
	is.NoErr(err)
	h.fleet.Store.Put("op/config", data)
	waitUntil(t, 3*time.Second, "second team", func() bool {
		status, _ := h.call(http.MethodGet, "", "", otherKey)
		return status == http.StatusOK
	})
	lasting := strings.Replace(oneTaskJob, `"count"`, `"long_running":true,"count"`, 1)
	status, _ := h.call(http.MethodPost, jobID(1), lasting, teamKey)
	is.Equal(status, http.StatusOK)
	status, body := h.call(http.MethodGet, jobID(1), "", otherKey)
	is.Equal(status, http.StatusGone)
	is.True(strings.Contains(body, "2308"))
	status, _ = h.call(http.MethodDelete, jobID(1), "", otherKey)
	is.Equal(status, http.StatusGone)
	status, body = h.call(http.MethodGet, jobID(1), "", teamKey)
	is.Equal(status, http.StatusOK)
	is.True(!strings.Contains(body, "cancelled"))
	status, _ = h.call(http.MethodDelete, jobID(1), "", teamKey)
	is.Equal(status, http.StatusOK)
}
