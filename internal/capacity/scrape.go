package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
)

// Names of the counters that the daemons export.
const (
	receivedMetric = "masticcart_rpc_received_bytes"
	sentMetric     = "masticcart_rpc_sent_bytes"
	actionsMetric  = "masticcart_cell_actions"
)

const (
	edgePoll    = 50 * time.Millisecond
	edgeTimeout = 2500 * time.Millisecond
	httpTimeout = 5 * time.Second
)

var httpClient = &http.Client{Timeout: httpTimeout}

// traffic is the state of a process's counters.
type traffic struct {
	at                      time.Time
	received, sent, actions float64
}

// scrape reads the counters of a process.
func scrape(ctx context.Context, address string) (traffic, error) {
	t := traffic{at: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return t, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		for name, sum := range map[string]*float64{receivedMetric: &t.received, sentMetric: &t.sent, actionsMetric: &t.actions} {
			if rest, ok := strings.CutPrefix(lines.Text(), name); ok && rest != "" && (rest[0] == '{' || rest[0] == ' ') {
				v, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
				if err != nil {
					return t, fmt.Errorf("capacity: metrics of %s: %w", address, err)
				}
				*sum += v
			}
		}
	}
	return t, lines.Err()
}

// edge returns the counters right after they changed. They are published once a second, so that a window between
// two edges is exact while one between two arbitrary moments is off by up to two seconds. Counters that stand
// still, as those of an idle process do, are returned after a timeout.
func edge(ctx context.Context, address string) (traffic, error) {
	first, err := scrape(ctx, address)
	if err != nil {
		return first, err
	}
	deadline := time.Now().Add(edgeTimeout)
	for {
		time.Sleep(edgePoll)
		t, err := scrape(ctx, address)
		if err != nil || t.received != first.received || t.sent != first.sent || time.Now().After(deadline) {
			return t, err
		}
	}
}

// platformStats reads the call counts of the platform's stand-in.
func platformStats(ctx context.Context, address string) (memstore.Stats, error) {
	var s memstore.Stats
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/stats", nil)
	if err != nil {
		return s, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// setPlatformDown switches the outage of the platform's stand-in.
func setPlatformDown(ctx context.Context, address string, down bool) error {
	body := strings.NewReader(fmt.Sprintf(`{"down":%t}`, down))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/admin/faults", body)
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
