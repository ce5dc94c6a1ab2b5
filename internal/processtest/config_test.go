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

// versionMonitor checks that the configuration version that a process reports never decreases. A restarted process may
// report version 0 until it has loaded a configuration.
type versionMonitor struct {
	*deployment
	mu        sync.Mutex
	highest   map[string]int64 // by process: the highest version reported
	restarted map[string]bool  // by process
}

// checkStatus queries the configuration status through one entry. No version may be below the highest one that was
// reported before the call.
func (v *versionMonitor) checkStatus(c *client.Client) {
	v.mu.Lock()
	before := maps.Clone(v.highest)
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := c.ConfigStatus(ctx)
	if err != nil {
		return // the entry was killed or has no configuration yet
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range status.Rows {
		unknownYet := r.Version == 0 && v.restarted[r.Process]
		if r.Version < before[r.Process] && !unknownYet {
			v.Errorf("%s reports version %d after %d", r.Process, r.Version, before[r.Process])
		}
		v.highest[r.Process] = max(v.highest[r.Process], r.Version)
	}
}

// restart kills a process and starts it again.
func (v *versionMonitor) restart(name string) {
	v.mu.Lock()
	v.restarted[name] = true
	v.mu.Unlock()
	v.kill(name)
	v.start(name)
}

// TestConfiguration guards against a change that reaches some process late or is rolled back there, also when that
// process restarts, and against concurrent operators who overwrite each other's changes.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	s := deploymentSizes(1, 1)
	s.Regions = []string{"riga", "liepaja"}
	d := deploy(t, s)
	v := &versionMonitor{deployment: d, highest: map[string]int64{}, restarted: map[string]bool{}}
	var monitors []*load
	for _, address := range append(d.layout.APIs["riga"], d.layout.APIs["liepaja"]...) {
		c := d.clientFor(demo.OperatorToken, address)
		monitors = append(monitors, startLoad(loadInterval, func(int) { v.checkStatus(c) }))
	}
	version := int64(1)
	change := func() {
		t.Helper()
		d.changeConfig(version, fmt.Sprintf("set rule check class urgent priority %d", version))
		version++
	}
	owner, _ := d.owner("riga")
	for _, victim := range []string{"", owner, "agent-executor-riga-1", "entry-liepaja-1", "agent-worker-liepaja-1"} {
		change()
		if victim != "" {
			v.restart(victim)
		}
		accepted := time.Now()
		d.waitVersion(version)
		// restart returns before the process is ready, so the time includes the start-up of a killed process.
		if took := time.Since(accepted); took > protocol.ConfigBound {
			t.Errorf("version %d was in force after %s (%q was restarted)", version, took, victim)
		}
	}
	d.changeConcurrently(version)
	d.waitVersion(version + 1)
	for _, w := range monitors {
		w.stop()
	}
}

// changeConcurrently has two operators change the same base version through two regions. Exactly one change must be
// accepted; the other operator must be told of the accepted change.
func (d *deployment) changeConcurrently(base int64) {
	d.Helper()
	errs := make([]error, 2)
	var both sync.WaitGroup
	for i, region := range []string{"riga", "liepaja"} {
		c := d.clientFor(demo.OperatorToken, d.layout.APIs[region][1])
		both.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_, errs[i] = c.Change(ctx, api.ChangeBody{Base: base,
				Commands: fmt.Sprintf("set rule race-%d class normal priority 1", i)})
		})
	}
	both.Wait()
	rejected := errs[0]
	if rejected == nil {
		rejected = errs[1]
	}
	var reply *client.ReplyError
	switch {
	case (errs[0] == nil) == (errs[1] == nil):
		d.Errorf("two concurrent changes of version %d, want exactly one accepted: %v, %v", base, errs[0], errs[1])
	case !errors.As(rejected, &reply), reply.Status != http.StatusConflict, reply.Code != api.CodeStaleBase,
		reply.Head != base+1,
		!strings.Contains(strings.Join(reply.Changes, "\n"), "race-"):
		d.Errorf("the rejected change got %v, want the changes since version %d", rejected, base)
	}
}
