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

// started is one start that an upstream recorded. Executors record no units and no stop.
type started struct {
	key         string // team:id of a job, team/id of a short request
	attempt     int    // of a gang
	upstream    string
	units       int
	start, stop time.Time // stop is zero while it runs
}

type history []started

// history reads what all upstreams recorded, including those that were replaced.
func (d *deployment) history() history {
	d.Helper()
	out := slices.Clone(d.past)
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
	d.getJSON(address, &s)
	for _, r := range s.History {
		i := strings.LastIndex(r.ID, ":")
		attempt, err := strconv.Atoi(r.ID[i+1:])
		if err != nil {
			d.Errorf("task %q at %s has no attempt", r.ID, address)
		}
		out = append(out, started{r.ID[:i], attempt, address, r.Accelerators, r.Start, r.Stop})
	}
	return out
}

func (d *deployment) executorHistory(address string) (out history) {
	d.Helper()
	var s executor.Status
	d.getJSON(address, &s)
	if s.Started != int64(len(s.Runs)) {
		d.Errorf("%s started %d runs and lists %d, so nothing can be concluded", address, s.Started, len(s.Runs))
	}
	for _, r := range s.Runs {
		out = append(out, started{key: r.ID[:strings.LastIndex(r.ID, ":")], upstream: address, start: r.Start})
	}
	return out
}

// of returns the starts of one job or request.
func (h history) of(key string) (out history) {
	for _, r := range h {
		if r.key == key {
			out = append(out, r)
		}
	}
	return out
}

func (h history) attempts() map[int]history {
	out := map[int]history{}
	for _, r := range h {
		out[r.attempt] = append(out[r.attempt], r)
	}
	return out
}

// units returns the accelerators that are in use.
func (h history) units() (n int) {
	for _, r := range h {
		if r.stop.IsZero() {
			n += r.units
		}
	}
	return n
}

// units returns the accelerators on which a job runs now.
func (d *deployment) units(key string) int { return d.history().of(key).units() }

// partly returns the longest time during which some but not all of the units of an attempt ran.
func (h history) partly(units int, now time.Time) (longest time.Duration) {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for _, r := range h {
		changes = append(changes, change{r.start, r.units}, change{r.end(now), -r.units})
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(b.delta, a.delta)) })
	busy := 0
	var since time.Time
	for _, c := range changes {
		was := busy > 0 && busy < units
		busy += c.delta
		if was {
			longest = max(longest, c.at.Sub(since))
		} else {
			since = c.at
		}
	}
	return longest
}

func (r started) end(now time.Time) time.Time {
	if r.stop.IsZero() {
		return now
	}
	return r.stop
}

// overlaps reports whether anything of the two histories ran at the same time.
func (h history) overlaps(o history, now time.Time) bool {
	for _, x := range h {
		for _, y := range o {
			if x.start.Before(y.end(now)) && y.start.Before(x.end(now)) {
				return true
			}
		}
	}
	return false
}

// check compares everything that the test sent with what the upstreams recorded. Every piece of work must have an
// outcome or a typed error by now.
func (d *deployment) check() {
	d.Helper()
	h, now := d.history(), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, w := range d.works {
		own := h.of(key)
		d.checkOutcome(key, w, len(own) > 0)
		if w.accelerators > 0 {
			d.checkGang(key, w, own.attempts(), now)
		} else if len(own) > 1 && !w.idempotent {
			d.Errorf("%s is not idempotent and started %d times: %v", key, len(own), own)
		}
	}
	for _, r := range h {
		if _, known := d.works[r.key]; !known {
			d.Errorf("%s started at %s, but nobody sent it", r.key, r.upstream)
		}
	}
}

// checkGang guards against gangs that run partly and against two attempts that run at the same time.
func (d *deployment) checkGang(key string, w work, attempts map[int]history, now time.Time) {
	for n, h := range attempts {
		if t := h.partly(w.accelerators, now); t > protocol.GangStopBound {
			d.Errorf("%s attempt %d ran partly for %s: %v", key, n, t, h)
		}
		for m, o := range attempts {
			if m > n && h.overlaps(o, now) {
				d.Errorf("%s: attempts %d and %d ran at the same time: %v and %v", key, n, m, h, o)
			}
		}
	}
}

// checkOutcome guards against lost work, untyped outcomes, refusals of work that ran, and answers that are cut off
// or belong to something else.
func (d *deployment) checkOutcome(key string, w work, ran bool) {
	switch {
	case w.err != nil && w.acknowledged:
		d.Errorf("%s was acknowledged and has no outcome: %v", key, w.err)
	case w.err != nil && w.notRun && ran:
		d.Errorf("%s was reported as not run and started: %v", key, w.err)
	case w.err != nil && !w.typed:
		d.Errorf("%s ended in an error without a type: %v", key, w.err)
	case w.err != nil || w.lost:
	case w.outcome == nil:
		d.Errorf("%s has neither outcome nor error", key)
	case w.want != "" && w.outcome.Result != w.want:
		d.Errorf("%s: result %s, want %s: %s", key, w.outcome.Result, w.want, w.outcome.Reason)
	default:
		d.checkResult(key, w, ran)
	}
}

func (d *deployment) checkResult(key string, w work, ran bool) {
	switch o := w.outcome; o.Result {
	case model.ResultDone:
		if !ran || !w.whole(key) {
			d.Errorf("%s is done, started %t, with the output %.80q of %d bytes", key, ran, o.Output, len(o.Output))
		}
	case model.ResultRefused:
		if ran || o.Ran {
			d.Errorf("%s was refused and ran: %+v", key, o)
		}
	case model.ResultFailed, model.ResultCancelled, model.ResultUnknown:
	default:
		d.Errorf("%s has the result %q", key, o.Result)
	}
}

// whole reports whether the output is the complete answer to the work: the stand-ins answer with its id, padded to
// the size that the payload asks for, and a gang has one answer for each member.
func (w work) whole(key string) bool {
	one := ""
	if json.Unmarshal(w.outcome.Output, &one) == nil {
		size := w.accelerators > 0 && w.accelerators <= unitsPerWorker || len(one) == w.outputBytes
		return size && strings.HasPrefix(one, key+":")
	}
	var members []string
	return json.Unmarshal(w.outcome.Output, &members) == nil && len(members) == w.accelerators/unitsPerWorker &&
		!slices.ContainsFunc(members, func(s string) bool { return !strings.HasPrefix(s, key+":") })
}
