package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// The victims of signals.
const (
	owner         = "owner"
	other         = "other entry"
	workerAgent   = "agent-worker-riga-1"
	executorAgent = "agent of a retrace"
	platformKV    = "kv"
)

// The moments of signals: while a gang is held but not started, and while it runs.
const (
	atHold  = "hold"
	atRun   = "run"
	goneFor = "run, away for long" // the process is not started again until the rest of the gang has stopped
)

const (
	// slowWrite keeps a gang between hold and start for long enough to end a process there.
	slowWrite = `{"slow_ms":400}`
	shortGang = 3 * time.Second
	// longGang is above MemberTimeout, so that a gang that loses a member is stopped before it ends, and endlessGang is
	// above GangStopBound, so that it certainly does not end by itself.
	longGang    = protocol.MemberTimeout + 2*time.Second
	endlessGang = protocol.GangStopBound + 10*time.Second
	mixTime     = protocol.PeerTimeout + 2*time.Second
	// pastLeases is above every lease and timeout of the protocol: agent, task, member and the entry's registration.
	pastLeases = protocol.AgentLease + protocol.TaskLease + time.Second
)

func (d *deployment) victim(name string) string {
	d.Helper()
	switch name {
	case owner:
		name, _ = d.owner("riga")
	case other:
		name, _ = d.other("riga")
	}
	return name
}

// TestKill guards against gangs that run partly, work that is lost, started twice or reported wrongly when a process
// dies without warning.
func TestKill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ victim, moment string }{
		{owner, atHold}, {owner, atRun}, {other, atRun}, {workerAgent, atHold}, {workerAgent, atRun}, {workerAgent, goneFor},
		{executorAgent, atRun}, {platformKV, atRun},
	} {
		t.Run(c.victim+" at "+c.moment, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, sizes(2, 2))
			name := d.victim(c.victim)
			want := model.ResultDone
			if c.victim == executorAgent {
				want = "" // the answers of its executor are lost, so that the outcome may be unknown
			}
			answers := d.startMix(mixTime, want, "")
			if c.victim == executorAgent {
				name = d.agentOf(firstRetrace)
			}
			gang := d.gangAt(c.moment, answers)
			d.kill(name)
			d.recover(c.victim, c.moment, name, gang)
			answers.Wait()
			if c.victim != platformKV {
				d.finish()
			}
			d.check()
		})
	}
}

// gangAt starts a gang and returns at the moment. Retraces are then between acceptance and start as well; calls waits
// until all of them have been submitted.
func (d *deployment) gangAt(moment string, calls *sync.WaitGroup) string {
	d.Helper()
	switch moment {
	case atRun:
		return d.startGang("gang", shortGang)
	case goneFor:
		return d.startGang("gang", endlessGang)
	}
	d.platformFaults(slowWrite)
	for i := range mixSize {
		calls.Go(func() { _ = d.retrace(d.b, fmt.Sprintf("claimed-%d", i), time.Second, "") }) // recorded
	}
	if err := d.gang(d.a, "gang", gangSize, shortGang); err != nil {
		d.Fatal(err)
	}
	held := func(agent string) bool { return d.logged(agent, "Answered hold", `job="`+teamA+`/gang"`, "ok=true") }
	d.poll("the gang is held", outcomeTime, func() bool { return held(workerAgent) && held("agent-worker-riga-2") })
	return teamA + ":gang"
}

// recover does what the surroundings do after a death, and checks what must hold meanwhile.
func (d *deployment) recover(victim, moment, name, gang string) {
	d.Helper()
	if moment == atHold {
		d.platformFaults(`{"reset":true}`)
	}
	switch {
	case victim == platformKV:
		d.withoutPlatform(gang)
	case moment == goneFor:
		d.poll("the rest of the gang stopped", protocol.GangStopBound, func() bool { return d.units(gang) == 0 })
		d.start(name)
		d.cancel(gang)
	case victim == workerAgent, victim == executorAgent:
		d.start(name)
	}
}

// cancel asks for a job to be cancelled.
func (d *deployment) cancel(key string) {
	d.Helper()
	team, id, _ := strings.Cut(key, ":")
	ctx, cancel := context.WithTimeout(d.Context(), callTime)
	defer cancel()
	if _, err := d.a.Cancel(ctx, model.JobKey{Team: team, ID: id}); err != nil {
		d.Errorf("cancel %s: %v", key, err)
	}
	d.record(key, func(w *work) { w.want = model.ResultCancelled })
}

// withoutPlatform checks that running work goes on and that nothing new is acknowledged. The stand-in lost its
// memory with its process, so that the jobs can have no recorded outcome.
func (d *deployment) withoutPlatform(gang string) {
	d.Helper()
	if err := d.retrace(d.b, "late", 0, ""); !client.HadNoEffect(err) {
		d.Errorf("a job without the platform: %v, want a refusal", err)
	}
	d.request(d.a, "late", 0, model.ResultDone)
	d.poll("the gang ended", outcomeTime, func() bool { return d.units(gang) == 0 })
	for _, r := range d.history().of(gang) {
		if ran := r.stop.Sub(r.start); ran < shortGang {
			d.Errorf("the gang was stopped at %s after %s of %s", r.upstream, ran, shortGang)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, w := range d.works {
		if w.acknowledged {
			w.lost = true
			d.works[key] = w
		}
	}
}

// TestPause guards against two attempts of a job that run at the same time, and against late answers that are lost
// or mixed up, when a process is paused past every lease and then goes on.
func TestPause(t *testing.T) {
	t.Parallel()
	for _, name := range []string{owner, workerAgent, executorAgent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, sizes(2, 3)) // a gang that loses one worker fits on the others
			paused := d.victim(name)
			want := model.ResultDone
			if name == executorAgent {
				want = ""
			}
			through := ""
			if name == owner {
				through = d.api(paused)
			}
			answers := d.startMix(mixTime, want, through)
			gang := d.startGang("gang", longGang)
			switch name {
			case workerAgent:
				paused = d.agentOf(gang)
			case executorAgent:
				paused = d.agentOf(firstRetrace)
			}
			d.signal(paused, syscall.SIGSTOP)
			resume := time.Now().Add(pastLeases)
			d.duringPause(name, gang)
			time.Sleep(time.Until(resume)) // the length of the fault, not a synchronization
			d.signal(paused, syscall.SIGCONT)
			answers.Wait()
			// New work must be possible with the process that went on.
			d.startGang("after", shortGang)
			d.finish()
			d.check()
		})
	}
}

// TestSuspendedOwnerDoesNotHoldAnOutcomeBack guards against a caller that hears of a recorded outcome only at its deadline,
// because the entry that it uses waits for an owner of the cell that has been suspended.
func TestSuspendedOwnerDoesNotHoldAnOutcomeBack(t *testing.T) {
	t.Parallel()
	const recordedBound = 3 * time.Second // from the record of the outcome to the answer
	d := deploy(t, sizes(2, 1))
	name, address := d.owner("riga")
	_, through := d.other("riga")
	body := api.RequestBody{ID: "once", Team: teamB, Kind: "retrace", Service: service, Idempotent: new(bool),
		TimeoutMS: requestTimeout.Milliseconds(), Payload: payload(500*time.Millisecond, 0)}
	ctx, cancel := context.WithTimeout(d.Context(), outcomeTime)
	defer cancel()
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = d.only(tokenOf(teamB), address).Request(ctx, body) // the answer is lost with its entry
	}()
	time.Sleep(20 * time.Millisecond) // the moment of the fault
	d.signal(name, syscall.SIGSTOP)
	defer func() {
		d.signal(name, syscall.SIGCONT)
		<-first
	}()
	o, err := d.only(tokenOf(teamB), through).Request(ctx, body)
	answered := time.Now()
	if err != nil || o.Result != model.ResultDone {
		t.Fatalf("%+v, %v, want done", o, err)
	}
	job, err := d.only(tokenOf(teamB), through).Job(ctx, model.JobKey{Team: teamB, ID: "once"})
	if err != nil {
		t.Fatal(err)
	}
	if late := answered.Sub(job.Finished); late > recordedBound {
		t.Errorf("answered %s after the outcome was recorded, want at most %s", late, recordedBound)
	}
}

// agentOf returns the agent beside an upstream that started the job.
func (d *deployment) agentOf(key string) string {
	d.Helper()
	address := d.history().of(key)[0].upstream
	for name := range d.procs {
		if strings.HasPrefix(name, "agent-") && d.upstream(name) == address {
			return name
		}
	}
	d.Fatalf("no agent stands beside %s", address)
	return ""
}

// duringPause sends work whose decisions the paused process would have to make or know.
func (d *deployment) duringPause(name, gang string) {
	d.Helper()
	switch name {
	case workerAgent:
		d.poll("the gang runs again elsewhere", pastLeases+protocol.GangStopBound, func() bool {
			return len(d.history().of(gang).attempts()) == 2
		})
	case owner:
		alive := d.client(tokenOf(teamB), d.alive())
		for _, id := range []string{"during-1", "during-2"} {
			if err := d.retrace(alive, id, time.Second, model.ResultDone); err != nil {
				d.Errorf("retrace while the owner is paused: %v", err)
			}
		}
	}
}

// alive returns the API address of an entry that answers.
func (d *deployment) alive() string {
	d.Helper()
	var found string
	d.poll("an entry answers", callTime+startTime, func() bool {
		for _, address := range d.layout.APIs["riga"] {
			resp, err := d.http.Get("http://" + address + "/healthz")
			if err == nil {
				resp.Body.Close()
				found = address
				return true
			}
		}
		return false
	})
	return found
}
