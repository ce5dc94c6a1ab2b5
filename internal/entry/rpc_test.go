package entry

import (
	"fmt"
	"testing"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Guards against pages that omit or repeat rows. A cell of 2,450 workers needs more than one page.
func TestPage(t *testing.T) {
	var all protocol.CellView
	for i := range 2345 {
		key := model.JobKey{Team: fmt.Sprintf("t%d", i/1000), ID: fmt.Sprintf("j%05d", i)}
		all.Jobs = append(all.Jobs, protocol.JobView{Job: model.Job{Spec: model.JobSpec{Key: key}}})
	}
	for i := range 2450 {
		all.Upstreams = append(all.Upstreams,
			protocol.UpstreamView{Identity: protocol.Identity{Agent: fmt.Sprintf("w%05d", i)}})
	}
	var args protocol.CellViewArgs
	jobs, workers, pages := 0, 0, 0
	for more := true; more; pages++ {
		p := pageAfter(all, args)
		if n := len(p.Jobs) + len(p.Upstreams); n > protocol.MaxCellPageRows || n == 0 {
			t.Fatalf("page %d has %d rows", pages, n)
		}
		for _, j := range p.Jobs {
			if j.Job.Spec.Key != all.Jobs[jobs].Job.Spec.Key {
				t.Fatalf("job %d is %s", jobs, j.Job.Spec.Key)
			}
			jobs++
			args.AfterJob = j.Job.Spec.Key
		}
		for _, w := range p.Upstreams {
			if w.Identity.Agent != all.Upstreams[workers].Identity.Agent {
				t.Fatalf("worker %d is %s", workers, w.Identity.Agent)
			}
			workers++
			args.AfterUpstream = w.Identity.Agent
		}
		more = p.More
	}
	if jobs != len(all.Jobs) || workers != len(all.Upstreams) {
		t.Errorf("%d jobs and %d workers in %d pages", jobs, workers, pages)
	}
}
