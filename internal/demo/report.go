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

// printReport prints a table of the steps and the violations found. It returns ErrChecksFailed if there are any.
func (r *scenarioRun) printReport() error {
	violations := 0
	tw := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "WORK\tCOUNT\tOUTCOMES\tMEDIAN\tLONGEST\tSTARTED AFTER\tATTEMPTS\tHOLDS")
	for _, s := range r.scenario.Steps {
		if s.Type == StepKill {
			continue
		}
		list := r.results[s.Name]
		problems := checkResults(s, list)
		violations += len(problems)
		verdict := "yes"
		if len(problems) > 0 {
			verdict = "NO"
			r.notes = append(r.notes, problems...)
		}
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\n", s.Name, len(list), countOutcomes(list),
			quantile(list, 0.5, itemDuration), quantile(list, 1, itemDuration), quantile(list, 1, itemStartDelay),
			maxAttempts(list), verdict)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	duplicateStarts, err := r.findDuplicateStarts()
	if err != nil {
		return err
	}
	violations += len(duplicateStarts)
	fmt.Fprintln(r.out)
	for _, n := range append(r.notes, duplicateStarts...) {
		if strings.HasPrefix(n, "VIOLATED") && !slices.Contains(duplicateStarts, n) {
			violations++
		}
		fmt.Fprintln(r.out, n)
	}
	if violations > 0 {
		return ErrChecksFailed
	}
	fmt.Fprintln(r.out, "no non-idempotent work was started twice; all results are as required")
	return nil
}

// checkResults returns a line for each result of a step that is not as the scenario requires.
func checkResults(s Step, list []itemResult) []string {
	var violations []string
	addViolation := func(format string, args ...any) {
		violations = append(violations, "VIOLATED: "+s.Name+": "+fmt.Sprintf(format, args...))
	}
	if want := max(1, s.Count); len(list) != want {
		addViolation("%d of %d results received", len(list), want)
	}
	restarted := 0
	for _, r := range list {
		switch {
		case r.err != nil:
			addViolation("%s: %v", r.id, r.err)
		case r.outcome != s.Expect:
			addViolation("%s: outcome %s, want %s (%s)", r.id, r.outcome, s.Expect, r.reason)
		case s.maxDuration > 0 && r.duration > s.maxDuration:
			addViolation("%s: took %s, at most %s", r.id, r.duration.Round(time.Millisecond), s.maxDuration)
		case s.maxStartDelay > 0 && r.startDelay > s.maxStartDelay:
			addViolation("%s: started after %s, at most %s", r.id, r.startDelay.Round(time.Millisecond), s.maxStartDelay)
		}
		if r.attempts > 1 {
			restarted++
		}
	}
	if restarted < s.Preempted {
		addViolation("%d jobs were preempted, want at least %d", restarted, s.Preempted)
	}
	return violations
}

// countOutcomes formats the number of results per outcome.
func countOutcomes(list []itemResult) string {
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

func itemDuration(r itemResult) time.Duration   { return r.duration }
func itemStartDelay(r itemResult) time.Duration { return r.startDelay }

func quantile(list []itemResult, q float64, value func(itemResult) time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	values := make([]time.Duration, len(list))
	for i, r := range list {
		values[i] = value(r)
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))].Round(time.Millisecond)
}

func maxAttempts(list []itemResult) int {
	n := 0
	for _, r := range list {
		n = max(n, r.attempts)
	}
	return n
}

// findDuplicateStarts asks the executors for their runs and returns a line for each non-idempotent item that was
// started more than once.
func (r *scenarioRun) findDuplicateStarts() ([]string, error) {
	nonIdempotent := map[string]bool{}
	for _, s := range r.scenario.Steps {
		for _, res := range r.results[s.Name] {
			if !s.Idempotent {
				nonIdempotent[s.Team+":"+res.id] = true
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
				if i := strings.LastIndex(run.ID, ":"); i > 0 && nonIdempotent[run.ID[:i]] {
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
