package routing

import (
	"fmt"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	s := newSim(1, 2, 10, 8, false, t.Errorf)
	d := 20 * time.Second
	s.load("inspector-check", 400, time.Second, d)
	s.load("fit", 300, time.Second, d)
	s.load("plan", 600, 2*time.Second, d)
	s.load("retrace", 420, 5*time.Second, d)
	for _, at := range []int{500, 1000, 3000, 5000, 10000, 10001, 10002, 10003, 10004, 10005} {
		s.run(time.Unix(1e9, 0).Add(time.Duration(at) * time.Millisecond))
		fmt.Println("at", at)
		for i, e := range s.entries {
			fmt.Print(i, " q=", e.queue.Len(), " tokens=", e.budget.tokens, " ")
			for _, u := range e.view.upstreams[simService] {
				fmt.Printf("[%d/%.1f f%d nb%v] ", u.InFlight, u.Limiter.limit, u.Free(), u.notBefore.Sub(s.now).Milliseconds())
			}
			fmt.Println()
		}
		for _, it := range s.entries[0].queue.Head(simService, 6) {
			c := s.entries[0].calls[it.ID]
			fmt.Print(it.Rule.Kind, " ref=", c.refusals, " nb=", it.NotBefore.Sub(s.now), "; ")
		}
		fmt.Print("\nagents ")
		for _, a := range s.agents {
			fmt.Print(a.running, " ")
		}
		fmt.Println()
	}
}
