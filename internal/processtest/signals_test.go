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

// The targets of signals.
const (
	ownerEntry    = "owner"
	nonOwnerEntry = "other entry"
	workerAgent   = "agent-worker-riga-1"
	executorAgent = "agent of a retrace"
	platformKV    = "kv"
)

// The times at which a signal is sent: while a gang is held but not started (atHold) or while it runs.
const (
	atHold           = "hold"
	atRun            = "run"
	atRunLateRestart = "run, away for long" // the process is restarted only after the rest of the gang has stopped
)

const (
	// slowWriteFault delays the platform's writes by 400 ms, so that there is time to kill a process between the hold
	// and the start of a gang.
	slowWriteFault = `{"slow_ms":400}`
	shortGang      = 3 * time.Second
	// longGang is longer than MemberTimeout, so that a gang that loses a member is stopped before it completes.
	// endlessGang is longer than GangStopBound, so that the gang does not complete within that bound by itself.
	longGang    = protocol.MemberTimeout + 2*time.Second
	endlessGang = protocol.GangStopBound + 10*time.Second
	mixWorkTime = protocol.PeerTimeout + 2*time.Second
	// leaseExpiryTime is longer than each lease and timeout of the protocol: those of agents, tasks, members and the
	// registration of an entry.
	leaseExpiryTime = protocol.AgentLease + protocol.TaskLease + time.Second
)

// victimProcess returns the name of the process for a target of a signal.
func (d *deployment) victimProcess(name string) string {
	d.Helper()
	switch name {
	case ownerEntry:
		name, _ = d.owner("riga")
	case nonOwnerEntry:
		name, _ = d.nonOwner("riga")
	}
	return name
}

// TestKill guards against gangs of which only a part runs, and against work that is lost, started twice or reported
// with a wrong outcome, when a process is killed with SIGKILL.
func TestKill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ victim, moment string }{
		{ownerEntry, atHold}, {ownerEntry, atRun}, {nonOwnerEntry, atRun},
		{workerAgent, atHold}, {workerAgent, atRun}, {workerAgent, atRunLateRestart},
		{executorAgent, atRun}, {platformKV, atRun},
	} {
		t.Run(c.victim+" at "+c.moment, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deploymentSizes(2, 2))
			name := d.victimProcess(c.victim)
			want := model.ResultDone
			if c.victim == executorAgent {
				want = "" // the replies of its executor are lost, so the outcome may be unknown
			}
			answers := d.startMix(mixWorkTime, want, "")
			if c.victim == executorAgent {
				name = d.agentThatStarted(firstRetrace)
			}
			gang := d.startGangAt(c.moment, answers)
			d.kill(name)
			d.recoverFromKill(c.victim, c.moment, name, gang)
			answers.Wait()
			if c.victim != platformKV {
				d.waitOutcomes()
			}
			d.checkHistory()
		})
	}
}

// startGangAt starts a gang, waits until it is held or runs, as moment says, and returns its key. At atHold there are
// also retraces between acceptance and start; calls waits until all of them have been submitted.
func (d *deployment) startGangAt(moment string, calls *sync.WaitGroup) string {
	d.Helper()
	switch moment {
	case atRun:
		return d.startGang("gang", shortGang)
	case atRunLateRestart:
		return d.startGang("gang", endlessGang)
	}
	d.setPlatformFaults(slowWriteFault)
	for i := range mixCount {
		calls.Go(func() {
			_ = d.submitRetrace(d.clientB, fmt.Sprintf("claimed-%d", i), time.Second, "") // the error is kept in d.workByKey
		})
	}
	if err := d.submitGang(d.clientA, "gang", gangSize, shortGang); err != nil {
		d.Fatal(err)
	}
	held := func(agent string) bool {
		return d.logContains(agent, "Answered hold", `job="`+teamA+`/gang"`, "ok=true")
	}
	d.poll("the gang is held", outcomeTimeout, func() bool { return held(workerAgent) && held("agent-worker-riga-2") })
	return teamA + ":gang"
}

// recoverFromKill restarts a killed agent, at atRunLateRestart only after the rest of the gang has stopped; it then
// also cancels the gang. After a kill of the platform it calls checkPlatformLost instead. Entries are not restarted.
func (d *deployment) recoverFromKill(victim, moment, name, gang string) {
	d.Helper()
	if moment == atHold {
		d.setPlatformFaults(`{"reset":true}`)
	}
	switch {
	case victim == platformKV:
		d.checkPlatformLost(gang)
	case moment == atRunLateRestart:
		d.poll("the rest of the gang stopped", protocol.GangStopBound, func() bool { return d.unitsInUse(gang) == 0 })
		d.start(name)
		d.cancelJob(gang)
	case victim == workerAgent, victim == executorAgent:
		d.start(name)
	}
}

// cancelJob requests the cancellation of a job of teamA, whose expected result is then cancelled.
func (d *deployment) cancelJob(key string) {
	d.Helper()
	team, id, _ := strings.Cut(key, ":")
	ctx, cancel := context.WithTimeout(d.Context(), callTimeout)
	defer cancel()
	if _, err := d.clientA.Cancel(ctx, model.JobKey{Team: team, ID: id}); err != nil {
		d.Errorf("cancel %s: %v", key, err)
	}
	d.updateWork(key, func(w *sentWork) { w.want = model.ResultCancelled })
}

// checkPlatformLost checks that running work continues and that no new job is acknowledged while the platform is down.
// The killed stand-in kept its records in memory, so no outcome of an acknowledged job can be recorded.
func (d *deployment) checkPlatformLost(gang string) {
	d.Helper()
	// An entry may not have noticed yet that its connections to the platform have ended. A write that it sends over one
	// of them gets no answer, and its outcome is unknown. From the first refusal on, it knows.
	attempt := 0
	submit := func() error {
		attempt++
		err := d.submitRetrace(d.clientB, fmt.Sprintf("late-%d", attempt), 0, "")
		if err == nil {
			d.Fatal("a job was acknowledged without the platform")
		}
		return err
	}
	d.poll("a job without the platform is refused", callTimeout, func() bool { return client.HadNoEffect(submit()) })
	for range mixCount {
		if err := submit(); !client.HadNoEffect(err) {
			d.Errorf("a job without the platform: %v, want a refusal", err)
		}
	}
	d.sendRequest(d.clientA, "late", 0, model.ResultDone)
	d.poll("the gang stopped", outcomeTimeout, func() bool { return d.unitsInUse(gang) == 0 })
	for _, r := range d.history().forKey(gang) {
		if ran := r.stop.Sub(r.start); ran < shortGang {
			d.Errorf("the gang was stopped at %s after %s, want at least %s", r.upstream, ran, shortGang)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, w := range d.workByKey {
		if w.acknowledged {
			w.recordLost = true
			d.workByKey[key] = w
		}
	}
}

// TestPause guards against two attempts of a job that run at the same time, and against late replies that are lost or
// assigned to other work, when a process is paused until all its leases have expired and then continues.
func TestPause(t *testing.T) {
	t.Parallel()
	for _, name := range []string{ownerEntry, workerAgent, executorAgent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, deploymentSizes(2, 3)) // a gang that loses one worker fits on the others
			paused := d.victimProcess(name)
			want := model.ResultDone
			if name == executorAgent {
				want = ""
			}
			pausedAddress := ""
			if name == ownerEntry {
				pausedAddress = d.apiAddress(paused)
			}
			answers := d.startMix(mixWorkTime, want, pausedAddress)
			gang := d.startGang("gang", longGang)
			switch name {
			case workerAgent:
				paused = d.agentThatStarted(gang)
			case executorAgent:
				paused = d.agentThatStarted(firstRetrace)
			}
			d.signal(paused, syscall.SIGSTOP)
			resume := time.Now().Add(leaseExpiryTime)
			d.checkTakeover(name, gang)
			time.Sleep(time.Until(resume)) // the length of the fault, not a synchronization
			d.signal(paused, syscall.SIGCONT)
			answers.Wait()
			// The resumed process must be able to take part in new work.
			d.startGang("after", shortGang)
			d.waitOutcomes()
			d.checkHistory()
		})
	}
}

// TestSuspendedOwnerDoesNotDelayOutcome guards against a caller that gets a recorded outcome only at its deadline,
// because the entry that it uses waits for a suspended owner of the cell.
func TestSuspendedOwnerDoesNotDelayOutcome(t *testing.T) {
	t.Parallel()
	const recordedBound = 3 * time.Second // from the recording of the outcome to the reply
	d := deploy(t, deploymentSizes(2, 1))
	name, address := d.owner("riga")
	_, otherAddress := d.nonOwner("riga")
	body := api.RequestBody{ID: "once", Team: teamB, Kind: "retrace", Service: service, Idempotent: new(bool),
		TimeoutMS: requestTimeout.Milliseconds(), Payload: payload(500*time.Millisecond, 0)}
	ctx, cancel := context.WithTimeout(d.Context(), outcomeTimeout)
	defer cancel()
	first := make(chan struct{})
	go func() {
		defer close(first)
		_, _ = d.clientFor(tokenOf(teamB), address).Request(ctx, body) // the reply is lost with its entry
	}()
	time.Sleep(20 * time.Millisecond) // the time of the fault, not a synchronization
	d.signal(name, syscall.SIGSTOP)
	defer func() {
		d.signal(name, syscall.SIGCONT)
		<-first
	}()
	o, err := d.clientFor(tokenOf(teamB), otherAddress).Request(ctx, body)
	answered := time.Now()
	if err != nil || o.Result != model.ResultDone {
		t.Fatalf("%+v, %v, want done", o, err)
	}
	job, err := d.clientFor(tokenOf(teamB), otherAddress).Job(ctx, model.JobKey{Team: teamB, ID: "once"})
	if err != nil {
		t.Fatal(err)
	}
	if late := answered.Sub(job.Finished); late > recordedBound {
		t.Errorf("reply %s after the outcome was recorded, want at most %s", late, recordedBound)
	}
}

// agentThatStarted returns the agent of the upstream that recorded the first start of the job.
func (d *deployment) agentThatStarted(key string) string {
	d.Helper()
	address := d.history().forKey(key)[0].upstream
	for name := range d.procs {
		if strings.HasPrefix(name, "agent-") && d.upstream(name) == address {
			return name
		}
	}
	d.Fatalf("no agent has the upstream %s", address)
	return ""
}

// checkTakeover checks that others take over from the paused process: the gang of a paused worker agent starts again
// on other workers, and jobs that a paused owner would schedule are done.
func (d *deployment) checkTakeover(name, gang string) {
	d.Helper()
	switch name {
	case workerAgent:
		d.poll("the gang runs again elsewhere", leaseExpiryTime+protocol.GangStopBound, func() bool {
			return len(d.history().forKey(gang).attempts()) == 2
		})
	case ownerEntry:
		alive := d.client(tokenOf(teamB), d.answeringEntry())
		for _, id := range []string{"during-1", "during-2"} {
			if err := d.submitRetrace(alive, id, time.Second, model.ResultDone); err != nil {
				d.Errorf("retrace while the owner is paused: %v", err)
			}
		}
	}
}

// answeringEntry returns the API address of an entry that responds to health checks.
func (d *deployment) answeringEntry() string {
	d.Helper()
	var found string
	d.poll("an entry responds", callTimeout+startTimeout, func() bool {
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
