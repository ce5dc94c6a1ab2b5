package processtest

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/standin/executor"
	"masticcart.example/masticcart/internal/standin/worker"
)

// startRecord is one start recorded by an upstream. Executors record neither units nor stops.
type startRecord struct {
	key         string // team:id of a job, team/id of a short request
	attempt     int    // of a gang; 0 at executors
	upstream    string
	units       int
	start, stop time.Time // stop is zero while the work runs
}

type history []startRecord

// history returns the starts that all upstreams recorded, including replaced ones.
func (d *deployment) history() history {
	d.Helper()
	out := slices.Clone(d.replacedHistory)
	for region := range d.layout.APIs {
		for _, address := range d.layout.Workers[region] {
			out = append(out, d.workerHistory(address)...)
		}
		for _, address := range d.layout.Executors[region] {
			out = append(out, d.executorHistory(address)...)
		}
	}
	return out
}

func (d *deployment) workerHistory(address string) (out history) {
	d.Helper()
	var s worker.Status
	d.readStatus(address, &s)
	for _, r := range s.History {
		i := strings.LastIndex(r.ID, ":")
		attempt, err := strconv.Atoi(r.ID[i+1:])
		if err != nil {
			d.Errorf("task ID %q at %s has no attempt number", r.ID, address)
		}
		out = append(out, startRecord{r.ID[:i], attempt, address, r.Accelerators, r.Start, r.Stop})
	}
	return out
}

func (d *deployment) executorHistory(address string) (out history) {
	d.Helper()
	var s executor.Status
	d.readStatus(address, &s)
	if s.Started != int64(len(s.Runs)) {
		d.Errorf("%s started %d runs but lists %d: its history is incomplete", address, s.Started, len(s.Runs))
	}
	for _, r := range s.Runs {
		out = append(out, startRecord{key: r.ID[:strings.LastIndex(r.ID, ":")], upstream: address, start: r.Start})
	}
	return out
}

// forKey returns the starts of one job or request.
func (h history) forKey(key string) (out history) {
	for _, r := range h {
		if r.key == key {
			out = append(out, r)
		}
	}
	return out
}

// attempts groups the starts by attempt.
func (h history) attempts() map[int]history {
	out := map[int]history{}
	for _, r := range h {
		out[r.attempt] = append(out[r.attempt], r)
	}
	return out
}

// unitsInUse returns the number of accelerators on which work still runs.
func (h history) unitsInUse() (n int) {
	for _, r := range h {
		if r.stop.IsZero() {
			n += r.units
		}
	}
	return n
}

// unitsInUse returns the number of accelerators on which the work with the key runs now.
func (d *deployment) unitsInUse(key string) int { return d.history().forKey(key).unitsInUse() }

// longestPartialRun returns the longest time during which some but not all units of an attempt ran.
func (h history) longestPartialRun(units int, now time.Time) (longest time.Duration) {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for _, r := range h {
		changes = append(changes, change{r.start, r.units}, change{r.stopOr(now), -r.units})
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.delta, a.delta)) })
	busy := 0
	var since time.Time
	for _, c := range changes {
		partial := busy > 0 && busy < units
		busy += c.delta
		if partial {
			longest = max(longest, c.at.Sub(since))
		} else {
			since = c.at
		}
	}
	return longest
}

// stopOr returns the time of the stop, or now while the work runs.
func (r startRecord) stopOr(now time.Time) time.Time {
	if r.stop.IsZero() {
		return now
	}
	return r.stop
}

// overlaps reports whether any work of h ran at the same time as any work of o.
func (h history) overlaps(o history, now time.Time) bool {
	for _, x := range h {
		for _, y := range o {
			if x.start.Before(y.stopOr(now)) && y.start.Before(x.stopOr(now)) {
				return true
			}
		}
	}
	return false
}

// checkHistory compares all work that the test sent with the starts that the upstreams recorded. All work must have an
// outcome or a typed error by now.
func (d *deployment) checkHistory() {
	d.Helper()
	h, now := d.history(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, w := range d.workByKey {
		own := h.forKey(key)
		d.checkOutcome(key, w, len(own) > 0)
		if w.accelerators > 0 {
			d.checkGang(key, w, own.attempts(), now)
		} else if len(own) > 1 && !w.idempotent {
			d.Errorf("%s is not idempotent and started %d times: %v", key, len(own), own)
		}
	}
	for _, r := range h {
		if _, known := d.workByKey[r.key]; !known {
			d.Errorf("%s started at %s, but the test did not send it", r.key, r.upstream)
		}
	}
}

// checkGang checks that no attempt ran on only some of its units for longer than protocol.GangStopBound, and that no
// two attempts ran at the same time.
func (d *deployment) checkGang(key string, w sentWork, attempts map[int]history, now time.Time) {
	for n, h := range attempts {
		if t := h.longestPartialRun(w.accelerators, now); t > protocol.GangStopBound {
			d.Errorf("%s attempt %d ran on only some of its units for %s: %v", key, n, t, h)
		}
		for m, o := range attempts {
			if m > n && h.overlaps(o, now) {
				d.Errorf("%s: attempts %d and %d ran at the same time: %v and %v", key, n, m, h, o)
			}
		}
	}
}

// checkOutcome guards against work without an outcome, errors without a type, refusals of work that ran, and outputs
// that are truncated or belong to other work.
func (d *deployment) checkOutcome(key string, w sentWork, ran bool) {
	switch {
	case w.err != nil && w.acknowledged:
		d.Errorf("%s was acknowledged but has no outcome: %v", key, w.err)
	case w.err != nil && w.noEffect && ran:
		d.Errorf("%s was reported as not run but started: %v", key, w.err)
	case w.err != nil && !w.typedError:
		d.Errorf("%s ended with an untyped error: %v", key, w.err)
	case w.err != nil || w.recordLost:
	case w.outcome == nil:
		d.Errorf("%s has neither an outcome nor an error", key)
	case w.want != "" && w.outcome.Result != w.want:
		d.Errorf("%s: result %s, want %s: %s", key, w.outcome.Result, w.want, w.outcome.Reason)
	default:
		d.checkResult(key, w, ran)
	}
}

// checkResult checks the outcome against whether the work ran.
func (d *deployment) checkResult(key string, w sentWork, ran bool) {
	switch o := w.outcome; o.Result {
	case model.ResultDone:
		if !ran || !w.hasCompleteOutput(key) {
			d.Errorf("%s is reported done: started %t, output %.80q of %d bytes", key, ran, o.Output, len(o.Output))
		}
	case model.ResultRefused:
		if ran || o.Ran {
			d.Errorf("%s was refused but ran: %+v", key, o)
		}
	case model.ResultFailed, model.ResultCancelled, model.ResultUnknown:
	default:
		d.Errorf("%s has the unexpected result %q", key, o.Result)
	}
}

// hasCompleteOutput reports whether the output is complete and belongs to the work: the stand-ins return the ID of the
// work, padded to the size given in the payload, and a gang has one such output for each member.
func (w sentWork) hasCompleteOutput(key string) bool {
	one := ""
	if json.Unmarshal(w.outcome.Output, &one) == nil {
		size := w.accelerators > 0 && w.accelerators <= unitsPerWorker || len(one) == w.outputBytes
		return size && strings.HasPrefix(one, key+":")
	}
	var members []string
	return json.Unmarshal(w.outcome.Output, &members) == nil && len(members) == w.accelerators/unitsPerWorker &&
		!slices.ContainsFunc(members, func(s string) bool { return !strings.HasPrefix(s, key+":") })
}
