package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/demo"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// leavingBound is the time from an agent's SIGTERM after which its upstream must get no new work.
	leavingBound = 5 * time.Second
	// leavingWork is the run time of work that keeps a draining agent alive beyond leavingBound, while new work could
	// still reach it.
	leavingWork  = leavingBound + 2*time.Second
	drainTimeout = 30 * time.Second
	loadInterval = 50 * time.Millisecond
)

// load sends work at a constant rate until it is stopped.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startLoad calls send once per pause with the numbers 0, 1, 2 and so on, each call in its own goroutine.
func startLoad(pause time.Duration, send func(i int)) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	l.done.Go(func() {
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			l.done.Go(func() { send(i) })
		}
	})
	return l
}

// stop sends no more work and waits until the calls under way have returned.
func (l *load) stop() {
	l.cancel()
	l.done.Wait()
}

// TestTerminateEntry guards against requests that are aborted or refused because an entry gets SIGTERM.
func TestTerminateEntry(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSizes(2, 2))
	name, address := d.owner("riga")
	leaving := d.clientFor(tokenOf(teamA), address)
	answers := d.startMix(mixWorkTime, model.ResultDone, "")
	gang := d.startGang("gang", shortGang)
	stopped := time.Now()
	d.signal(name, syscall.SIGTERM)
	// A load balancer may still send requests shortly after the readiness check has failed, so the entry must serve
	// them. A request that a busy machine sends later than that may find the listener closed.
	for i := range mixCount {
		answers.Go(func() {
			want := model.ResultDone
			if time.Since(stopped) > protocol.DrainDelay/2 {
				want = ""
			}
			d.sendRequest(leaving, fmt.Sprintf("late-%d", i), time.Second, want)
		})
	}
	answers.Wait()
	d.waitExit(name)
	d.waitOutcomes()
	if a := d.history().forKey(gang).attempts(); len(a) != 1 {
		d.Errorf("the gang was restarted: %v", a)
	}
	d.checkHistory()
}

// TestTerminateAgents guards against an agent that aborts its work on SIGTERM, and against new work for its upstream
// more than 5 s after the SIGTERM.
func TestTerminateAgents(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSizes(2, 2))
	answers := d.startMix(leavingWork, model.ResultDone, "")
	if err := d.submitGang(d.clientA, "long", unitsPerWorker/2, leavingWork); err != nil {
		d.Fatal(err)
	}
	key := teamA + ":long"
	d.poll("the long job runs", outcomeTimeout, func() bool { return d.unitsInUse(key) > 0 })
	agent, executorAgent := d.agentThatStarted(key), d.agentThatStarted(firstRetrace)
	stopped := time.Now()
	d.signal(agent, syscall.SIGTERM)
	d.signal(executorAgent, syscall.SIGTERM)
	l := startLoad(4*loadInterval, func(i int) {
		id := fmt.Sprintf("load-%d", i)
		d.sendRequest(d.clientA, id, 0, model.ResultDone)
		_ = d.submitGang(d.clientA, id, 1, 0) // the error is kept in d.workByKey
	})
	d.waitExit(agent)
	d.waitExit(executorAgent)
	l.stop()
	answers.Wait()
	d.waitOutcomes()
	d.checkHistory()
	d.checkNoNewWork(agent, stopped.Add(leavingBound))
	d.checkNoNewWork(executorAgent, stopped.Add(leavingBound))
}

// checkNoNewWork checks that the upstream of an agent started nothing after the given time, while other upstreams of
// its kind did.
func (d *deployment) checkNoNewWork(agent string, after time.Time) {
	d.Helper()
	own, others := 0, 0
	for _, r := range d.history() {
		switch {
		case !r.start.After(after) || (r.units > 0) != strings.Contains(agent, "worker"):
		case r.upstream == d.upstream(agent):
			own++
		default:
			others++
		}
	}
	if own > 0 || others == 0 {
		d.Errorf("more than 5 s after its SIGTERM the upstream of %s started %d items of work, the others %d",
			agent, own, others)
	}
}

// upstream returns the address of the stand-in upstream of an agent.
func (d *deployment) upstream(agent string) string {
	return d.procs[strings.TrimPrefix(agent, "agent-")].spec.Args[1]
}

// TestRollingReplacement guards against work that is lost, aborted or started twice while all entries, agents and
// upstreams are replaced one after the other under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentSizes(2, 2))
	l := startLoad(loadInterval, func(i int) {
		id := fmt.Sprintf("rolling-%d", i)
		d.sendRequest(d.clientA, id, 100*time.Millisecond, "")
		if i%4 == 0 {
			_ = d.submitRetrace(d.clientB, id, 200*time.Millisecond, "") // the error is kept in d.workByKey
			_ = d.submitGang(d.clientA, id, 1, 200*time.Millisecond)
		}
	})
	for i, address := range d.layout.APIs["riga"] {
		name := fmt.Sprintf("entry-riga-%d", i+1)
		d.signal(name, syscall.SIGTERM)
		d.waitExit(name)
		d.start(name)
		d.waitEntry(address)
		d.waitReady()
	}
	for name := range d.procs {
		if strings.HasPrefix(name, "agent-") {
			d.replaceUpstream(name)
		}
	}
	l.stop()
	d.waitOutcomes()
	d.checkHistory()
	d.checkAccounting()
}

// replaceUpstream replaces an agent and its upstream. It keeps the history of the old upstream.
func (d *deployment) replaceUpstream(agent string) {
	d.Helper()
	upstream, address := strings.TrimPrefix(agent, "agent-"), d.upstream(agent)
	d.signal(agent, syscall.SIGTERM)
	d.waitExit(agent)
	if strings.HasPrefix(upstream, "worker") {
		d.replacedHistory = append(d.replacedHistory, d.workerHistory(address)...)
	} else {
		d.replacedHistory = append(d.replacedHistory, d.executorHistory(address)...)
	}
	d.signal(upstream, syscall.SIGTERM)
	d.waitExit(upstream)
	d.start(upstream)
	d.start(agent)
	d.waitReady()
}

// checkAccounting checks that the counts of outcomes add up to the work that was sent, and that a planned replacement
// leaves no outcome unknown.
func (d *deployment) checkAccounting() {
	d.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	answered, refused, unknown := 0, 0, 0
	for key, w := range d.workByKey {
		switch {
		case w.outcome != nil && (w.outcome.Result == model.ResultDone || w.outcome.Result == model.ResultFailed):
			answered++
		case w.noEffect || w.outcome != nil && w.outcome.Result == model.ResultRefused:
			refused++
		default:
			unknown++
			d.Errorf("%s has an unknown outcome after a planned replacement: %+v %v", key, w.outcome, w.err)
		}
	}
	d.Logf("sent %d, answered %d, refused %d, unknown %d", len(d.workByKey), answered, refused, unknown)
	if answered+refused+unknown != len(d.workByKey) || answered == 0 {
		d.Errorf("the counts do not add up to %d", len(d.workByKey))
	}
}

// TestPlatformOutage guards against an outage of the platform that stops running work, against jobs that are
// acknowledged without being recorded, and against an entry that serves an old configuration when it is restarted
// during the outage.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]struct{ begin, end func(*deployment) }{
		"down": {
			func(d *deployment) { d.setPlatformFaults(`{"down":true}`) },
			func(d *deployment) { d.setPlatformFaults(`{"down":false}`) },
		},
		"paused": {
			func(d *deployment) { d.suspend(platformKV) },
			func(d *deployment) { d.signal(platformKV, syscall.SIGCONT) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deploymentSizes(2, 2))
			d.changeConfig(1, "set rule check class urgent priority 0")
			d.waitVersion(2)
			answers := d.startMix(leaseExpiryTime, model.ResultDone, "")
			gang := d.startGang("gang", leaseExpiryTime)
			outage.begin(d)
			outageEnd := time.Now().Add(leaseExpiryTime)
			l := startLoad(4*loadInterval, func(i int) {
				d.sendRequest(d.clientA, fmt.Sprintf("short-%d", i), 0, model.ResultDone)
			})
			if err := d.submitRetrace(d.clientB, "outage", 0, ""); !isTypedError(err) {
				d.Errorf("a job submitted during the outage: %v, want a typed error and no acknowledgement", err)
			}
			l.stop()
			d.restartEntryInOutage(2)
			l = startLoad(4*loadInterval, func(i int) {
				d.sendRequest(d.clientA, fmt.Sprintf("again-%d", i), 0, model.ResultDone)
			})
			time.Sleep(time.Until(outageEnd)) // the length of the fault, not a synchronization
			outage.end(d)
			l.stop()
			answers.Wait()
			d.resubmitOutageJob(gang)
			d.waitOutcomes()
			d.checkHistory()
		})
	}
}

// restartEntryInOutage kills an entry, restarts it while the platform is unavailable and checks that it serves the
// configuration version.
func (d *deployment) restartEntryInOutage(version int64) {
	d.Helper()
	name, address := d.nonOwner("riga")
	d.kill(name)
	d.start(name)
	c := d.clientFor(tokenOf(teamA), address)
	operator := d.clientFor(demo.OperatorToken, address)
	d.poll(name+" has its configuration from peers or agents", protocol.ConfigBound, func() bool {
		ctx, cancel := context.WithTimeout(d.Context(), callTimeout)
		defer cancel()
		conf, err := operator.Config(ctx)
		if err == nil && conf.Version != version {
			d.Fatalf("%s serves version %d, want %d", name, conf.Version, version)
		}
		return err == nil
	})
	d.sendRequest(c, "restarted", 0, model.ResultDone)
}

// resubmitOutageJob submits the job of the outage again under the same ID, which must now be acknowledged, and checks
// that the gang ran in a single attempt.
func (d *deployment) resubmitOutageJob(gang string) {
	d.Helper()
	d.poll("jobs are acknowledged again", startTimeout, func() bool {
		return d.submitRetrace(d.clientB, "outage", 0, model.ResultDone) == nil
	})
	d.poll("the gang stopped", outcomeTimeout, func() bool { return d.unitsInUse(gang) == 0 })
	if a := d.history().forKey(gang).attempts(); len(a) != 1 {
		d.Errorf("the outage interrupted the gang: %v", a)
	}
}
