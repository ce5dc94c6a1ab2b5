package processtest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/protocol"
)

// versions checks that no process ever reports a lower configuration version. A process that was started again may
// report that it knows none yet.
type versions struct {
	*deployment
	mu        sync.Mutex
	seen      map[string]int64
	restarted map[string]bool
}

// look takes the status that an entry gives. Versions seen before the call must not be above it.
func (v *versions) look(c *client.Client) {
	v.mu.Lock()
	before := maps.Clone(v.seen)
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	status, err := c.ConfigStatus(ctx)
	if err != nil {
		return // the entry was killed, or does not know its configuration yet
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range status.Rows {
		unknownYet := r.Version == 0 && v.restarted[r.Process]
		if r.Version < before[r.Process] && !unknownYet {
			v.Errorf("%s reports version %d after %d", r.Process, r.Version, before[r.Process])
		}
		v.seen[r.Process] = max(v.seen[r.Process], r.Version)
	}
}

func (v *versions) restart(name string) {
	v.mu.Lock()
	v.restarted[name] = true
	v.mu.Unlock()
	v.kill(name)
	v.start(name)
}

// TestConfiguration guards against a change that is late or rolled back somewhere, and against two operators who
// overwrite each other's changes.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	s := sizes(1, 1)
	s.Regions = []string{"riga", "liepaja"}
	d := deploy(t, s)
	v := &versions{deployment: d, seen: map[string]int64{}, restarted: map[string]bool{}}
	var watches []*load
	for _, address := range append(d.layout.APIs["riga"], d.layout.APIs["liepaja"]...) {
		c := d.only(demo.OperatorToken, address)
		watches = append(watches, startLoad(loadPause, func(int) { v.look(c) }))
	}
	version := int64(1)
	change := func() {
		t.Helper()
		d.change(version, fmt.Sprintf("set rule check class urgent priority %d", version))
		version++
	}
	owner, _ := d.owner("riga")
	for _, victim := range []string{"", owner, "agent-executor-riga-1", "entry-liepaja-1", "agent-worker-liepaja-1"} {
		change()
		if victim != "" {
			v.restart(victim)
		}
		accepted := time.Now()
		d.inForce(version)
		// A process that was killed after the change was accepted needs its start besides.
		if took := time.Since(accepted); took > protocol.ConfigBound {
			t.Errorf("version %d was in force after %s (%q was killed)", version, took, victim)
		}
	}
	d.race(version)
	d.inForce(version + 1)
	for _, w := range watches {
		w.end()
	}
}

// race lets two operators change the same version through two regions.
func (d *deployment) race(base int64) {
	d.Helper()
	errs := make([]error, 2)
	var both sync.WaitGroup
	for i, region := range []string{"riga", "liepaja"} {
		c := d.only(demo.OperatorToken, d.layout.APIs[region][1])
		both.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			defer cancel()
			_, errs[i] = c.Change(ctx, api.ChangeBody{Base: base, Commands: fmt.Sprintf("set rule race-%d class normal priority 1", i)})
		})
	}
	both.Wait()
	loser := errs[0]
	if loser == nil {
		loser = errs[1]
	}
	var reply *client.ReplyError
	switch {
	case (errs[0] == nil) == (errs[1] == nil):
		d.Errorf("of two changes of version %d not exactly one won: %v, %v", base, errs[0], errs[1])
	case !errors.As(loser, &reply), reply.Status != http.StatusConflict, reply.Code != api.CodeStaleBase, reply.Head != base+1,
		!strings.Contains(strings.Join(reply.Changes, "\n"), "race-"):
		d.Errorf("the losing operator was told %v, want the changes since version %d", loser, base)
	}
}
