package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"masticcart.example/masticcart/internal/standin/executor"
)

// report prints the table of outcomes and returns ErrChecksFailed if anything differs from what must hold.
func (r *run) report() error {
	violations := 0
	tw := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "WORK\tCOUNT\tOUTCOMES\tMEDIAN\tLONGEST\tSTARTED AFTER\tATTEMPTS\tHOLDS")
	for _, s := range r.scenario.Steps {
		if s.Type == StepKill {
			continue
		}
		list := r.results[s.Name]
		problems := check(s, list)
		violations += len(problems)
		verdict := "yes"
		if len(problems) > 0 {
			verdict = "NO"
			r.notes = append(r.notes, problems...)
		}
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\n", s.Name, len(list), outcomes(list), quantile(list, 0.5, took),
			quantile(list, 1, took), quantile(list, 1, started), attempts(list), verdict)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	twice, err := r.startedTwice()
	if err != nil {
		return err
	}
	violations += len(twice)
	fmt.Fprintln(r.out)
	for _, n := range append(r.notes, twice...) {
		if strings.HasPrefix(n, "VIOLATED") && !slices.Contains(twice, n) {
			violations++
		}
		fmt.Fprintln(r.out, n)
	}
	if violations > 0 {
		return ErrChecksFailed
	}
	fmt.Fprintln(r.out, "no work that is not idempotent started twice; everything holds")
	return nil
}

// check compares the results of a step with what must hold.
func check(s Step, list []result) []string {
	var out []string
	note := func(format string, args ...any) {
		out = append(out, "VIOLATED: "+s.Name+": "+fmt.Sprintf(format, args...))
	}
	if want := max(1, s.Count); len(list) != want {
		note("%d of %d came back", len(list), want)
	}
	again := 0
	for _, r := range list {
		switch {
		case r.err != nil:
			note("%s: %v", r.id, r.err)
		case r.outcome != s.Expect:
			note("%s: outcome %s, want %s (%s)", r.id, r.outcome, s.Expect, r.reason)
		case s.maxTime > 0 && r.took > s.maxTime:
			note("%s: took %s, at most %s", r.id, r.took.Round(time.Millisecond), s.maxTime)
		case s.maxStart > 0 && r.started > s.maxStart:
			note("%s: started after %s, at most %s", r.id, r.started.Round(time.Millisecond), s.maxStart)
		}
		if r.attempts > 1 {
			again++
		}
	}
	if again < s.Preempted {
		note("%d jobs were preempted, want at least %d", again, s.Preempted)
	}
	return out
}

func outcomes(list []result) string {
	counts := map[string]int{}
	for _, r := range list {
		key := string(r.outcome)
		if r.err != nil {
			key = "error"
		}
		counts[key]++
	}
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func took(r result) time.Duration    { return r.took }
func started(r result) time.Duration { return r.started }

func quantile(list []result, q float64, f func(result) time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	values := make([]time.Duration, len(list))
	for i, r := range list {
		values[i] = f(r)
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))].Round(time.Millisecond)
}

func attempts(list []result) int {
	n := 0
	for _, r := range list {
		n = max(n, r.attempts)
	}
	return n
}

// startedTwice asks the executors which work that is not idempotent they started more than once.
func (r *run) startedTwice() ([]string, error) {
	once := map[string]bool{}
	for _, s := range r.scenario.Steps {
		for _, res := range r.results[s.Name] {
			if !s.Idempotent {
				once[s.Team+":"+res.id] = true
			}
		}
	}
	starts := map[string]int{}
	for _, addresses := range r.layout.Executors {
		for _, a := range addresses {
			status, err := executorStatus(a)
			if err != nil {
				return nil, err
			}
			for _, run := range status.Runs {
				if i := strings.LastIndex(run.ID, ":"); i > 0 && once[run.ID[:i]] {
					starts[run.ID[:i]]++
				}
			}
		}
	}
	var out []string
	for id, n := range starts {
		if n > 1 {
			out = append(out, fmt.Sprintf("VIOLATED: %s started %d times", id, n))
		}
	}
	slices.Sort(out)
	return out, nil
}

func executorStatus(address string) (executor.Status, error) {
	var s executor.Status
	resp, err := http.Get("http://" + address + "/status")
	if err != nil {
		return s, fmt.Errorf("demo: %w", err)
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}
