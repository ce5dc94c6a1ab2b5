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

// Counters that the daemons export.
const (
	receivedMetric = "masticcart_rpc_received_bytes"
	sentMetric     = "masticcart_rpc_sent_bytes"
	commandsMetric = "masticcart_cell_actions"
)

const (
	publicationPollInterval = 50 * time.Millisecond
	publicationTimeout      = 2500 * time.Millisecond
	httpTimeout             = 5 * time.Second
)

var httpClient = &http.Client{Timeout: httpTimeout}

// counterSample is a reading of a process's counters. commands counts the commands that an entry sends to agents.
type counterSample struct {
	at                                 time.Time
	receivedBytes, sentBytes, commands float64
}

// scrape reads the counters of a process from its metrics endpoint, each summed over its label sets.
func scrape(ctx context.Context, address string) (counterSample, error) {
	sample := counterSample{at: time.Now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return sample, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return sample, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		for name, sum := range map[string]*float64{
			receivedMetric: &sample.receivedBytes, sentMetric: &sample.sentBytes, commandsMetric: &sample.commands,
		} {
			if rest, ok := strings.CutPrefix(lines.Text(), name); ok && rest != "" && (rest[0] == '{' || rest[0] == ' ') {
				v, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
				if err != nil {
					return sample, fmt.Errorf("capacity: metrics of %s: %w", address, err)
				}
				*sum += v
			}
		}
	}
	return sample, lines.Err()
}

// sampleAtPublication returns the counters right after the process has published new values. It publishes once a
// second, so a window between two publications is exact, while one between two arbitrary times is off by up to two
// seconds. Counters that do not change, as those of an idle process, are returned after publicationTimeout.
func sampleAtPublication(ctx context.Context, address string) (counterSample, error) {
	first, err := scrape(ctx, address)
	if err != nil {
		return first, err
	}
	deadline := time.Now().Add(publicationTimeout)
	for {
		time.Sleep(publicationPollInterval)
		sample, err := scrape(ctx, address)
		if err != nil || sample.receivedBytes != first.receivedBytes || sample.sentBytes != first.sentBytes ||
			time.Now().After(deadline) {
			return sample, err
		}
	}
}

// platformStats reads the call counters of the platform's stand-in.
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

// setPlatformDown starts or ends a simulated outage of the platform's stand-in.
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
