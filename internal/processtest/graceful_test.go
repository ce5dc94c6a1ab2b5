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
	// leavingBound is the time after which a leaving upstream must get no new work.
	leavingBound = 5 * time.Second
	// leavingWork keeps a leaving agent alive for longer than leavingBound, so that it could still get new work.
	leavingWork = leavingBound + 2*time.Second
	drainTime   = 30 * time.Second
	loadPause   = 50 * time.Millisecond
)

// load sends work at a steady rate until it is ended.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startLoad calls send with growing numbers, each in its own goroutine.
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

func (l *load) end() {
	l.cancel()
	l.done.Wait()
}

// TestTerminateEntry guards against requests that a planned stop of an entry cuts off or refuses.
func TestTerminateEntry(t *testing.T) {
	t.Parallel()
	d := deploy(t, sizes(2, 2))
	name, address := d.owner("riga")
	leaving := d.only(tokenOf(teamA), address)
	answers := d.startMix(mixTime, model.ResultDone, "")
	gang := d.startGang("gang", shortGang)
	stopped := time.Now()
	d.signal(name, syscall.SIGTERM)
	// The balancer may send requests for a moment after readiness has failed. One that this machine sends too late
	// may find the listener closed.
	for i := range mixSize {
		answers.Go(func() {
			want := model.ResultDone
			if time.Since(stopped) > protocol.DrainDelay/2 {
				want = ""
			}
			d.request(leaving, fmt.Sprintf("late-%d", i), time.Second, want)
		})
	}
	answers.Wait()
	d.waitExit(name)
	d.finish()
	if a := d.history().of(gang).attempts(); len(a) != 1 {
		d.Errorf("the gang was started again: %v", a)
	}
	d.check()
}

// TestTerminateAgents guards against a planned stop of an agent that cuts off its work, and against new work for an
// upstream that is leaving for longer than 5 s.
func TestTerminateAgents(t *testing.T) {
	t.Parallel()
	d := deploy(t, sizes(2, 2))
	answers := d.startMix(leavingWork, model.ResultDone, "")
	if err := d.gang(d.a, "long", unitsPerWorker/2, leavingWork); err != nil {
		d.Fatal(err)
	}
	key := teamA + ":long"
	d.poll("the long job runs", outcomeTime, func() bool { return d.units(key) > 0 })
	agent, executorAgent := d.agentOf(key), d.agentOf(firstRetrace)
	stopped := time.Now()
	d.signal(agent, syscall.SIGTERM)
	d.signal(executorAgent, syscall.SIGTERM)
	l := startLoad(4*loadPause, func(i int) {
		id := fmt.Sprintf("load-%d", i)
		d.request(d.a, id, 0, model.ResultDone)
		_ = d.gang(d.a, id, 1, 0) // recorded
	})
	d.waitExit(agent)
	d.waitExit(executorAgent)
	l.end()
	answers.Wait()
	d.finish()
	d.check()
	d.nothingNew(agent, stopped.Add(leavingBound))
	d.nothingNew(executorAgent, stopped.Add(leavingBound))
}

// nothingNew checks that the upstream of an agent started nothing after a time, while the others did.
func (d *deployment) nothingNew(agent string, after time.Time) {
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
		d.Errorf("later than 5 s after its SIGTERM the upstream of %s got %d new pieces of work, the others %d", agent, own, others)
	}
}

// upstream returns the address of the stand-in beside an agent.
func (d *deployment) upstream(agent string) string {
	return d.procs[strings.TrimPrefix(agent, "agent-")].spec.Args[1]
}

// TestRollingReplacement guards against work that is lost, cut off or started twice while every process is replaced
// in turn under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := deploy(t, sizes(2, 2))
	l := startLoad(loadPause, func(i int) {
		id := fmt.Sprintf("rolling-%d", i)
		d.request(d.a, id, 100*time.Millisecond, "")
		if i%4 == 0 {
			_ = d.retrace(d.b, id, 200*time.Millisecond, "") // recorded
			_ = d.gang(d.a, id, 1, 200*time.Millisecond)
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
	l.end()
	d.finish()
	d.check()
	d.account()
}

// replaceUpstream replaces an agent and the upstream beside it, whose history is kept.
func (d *deployment) replaceUpstream(agent string) {
	d.Helper()
	upstream, address := strings.TrimPrefix(agent, "agent-"), d.upstream(agent)
	d.signal(agent, syscall.SIGTERM)
	d.waitExit(agent)
	if strings.HasPrefix(upstream, "worker") {
		d.past = append(d.past, d.workerHistory(address)...)
	} else {
		d.past = append(d.past, d.executorHistory(address)...)
	}
	d.signal(upstream, syscall.SIGTERM)
	d.waitExit(upstream)
	d.start(upstream)
	d.start(agent)
	d.waitReady()
}

// account checks that the counts add up to what was sent, and that a planned replacement leaves no outcome unknown.
func (d *deployment) account() {
	d.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	answered, refused, unknown := 0, 0, 0
	for key, w := range d.works {
		switch {
		case w.outcome != nil && (w.outcome.Result == model.ResultDone || w.outcome.Result == model.ResultFailed):
			answered++
		case w.notRun || w.outcome != nil && w.outcome.Result == model.ResultRefused:
			refused++
		default:
			unknown++
			d.Errorf("%s is unknown after a planned replacement: %+v %v", key, w.outcome, w.err)
		}
	}
	d.Logf("sent %d, answered %d, refused %d, unknown %d", len(d.works), answered, refused, unknown)
	if answered+refused+unknown != len(d.works) || answered == 0 {
		d.Errorf("the counts do not add up to %d", len(d.works))
	}
}

// TestPlatformOutage guards against running work that an outage of the platform stops, against jobs that are
// acknowledged but not recorded, and against a restarted entry that serves an old configuration.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]struct{ begin, end func(*deployment) }{
		"down": {
			func(d *deployment) { d.platformFaults(`{"down":true}`) },
			func(d *deployment) { d.platformFaults(`{"down":false}`) },
		},
		"paused": {
			func(d *deployment) { d.suspend(platformKV) },
			func(d *deployment) { d.signal(platformKV, syscall.SIGCONT) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, sizes(2, 2))
			d.change(1, "set rule check class urgent priority 0")
			d.inForce(2)
			answers := d.startMix(pastLeases, model.ResultDone, "")
			gang := d.startGang("gang", pastLeases)
			outage.begin(d)
			over := time.Now().Add(pastLeases)
			l := startLoad(4*loadPause, func(i int) { d.request(d.a, fmt.Sprintf("short-%d", i), 0, model.ResultDone) })
			if err := d.retrace(d.b, "outage", 0, ""); !typed(err) {
				d.Errorf("a job during the outage: %v, want no acknowledgement and a typed error", err)
			}
			l.end()
			d.restartInOutage(2)
			l = startLoad(4*loadPause, func(i int) { d.request(d.a, fmt.Sprintf("again-%d", i), 0, model.ResultDone) })
			time.Sleep(time.Until(over)) // the length of the fault, not a synchronization
			outage.end(d)
			l.end()
			answers.Wait()
			d.resend(gang)
			d.finish()
			d.check()
		})
	}
}

// restartInOutage kills an entry, starts it again without the platform and checks the configuration that it serves.
func (d *deployment) restartInOutage(version int64) {
	d.Helper()
	name, address := d.other("riga")
	d.kill(name)
	d.start(name)
	c := d.only(tokenOf(teamA), address)
	operator := d.only(demo.OperatorToken, address)
	d.poll(name+" has its configuration from peers or agents", protocol.ConfigBound, func() bool {
		ctx, cancel := context.WithTimeout(d.Context(), callTime)
		defer cancel()
		conf, err := operator.Config(ctx)
		if err == nil && conf.Version != version {
			d.Fatalf("%s serves version %d, want %d", name, conf.Version, version)
		}
		return err == nil
	})
	d.request(c, "restarted", 0, model.ResultDone)
}

// resend repeats the job of the outage under its id: it must be accepted now, and run at most once altogether.
func (d *deployment) resend(gang string) {
	d.Helper()
	d.poll("jobs are acknowledged again", startTime, func() bool {
		return d.retrace(d.b, "outage", 0, model.ResultDone) == nil
	})
	d.poll("the gang ended", outcomeTime, func() bool { return d.units(gang) == 0 })
	if a := d.history().of(gang).attempts(); len(a) != 1 {
		d.Errorf("the outage interrupted the gang: %v", a)
	}
}
