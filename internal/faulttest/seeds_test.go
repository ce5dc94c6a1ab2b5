package faulttest_test

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// The variable seedEnv sets the seed that TestSeed repeats, timeEnv the duration of TestFuzz; traceEnv turns on the
	// trace of TestSeed.
	seedEnv  = "FAULT_SEED"
	timeEnv  = "FUZZ_TIME"
	traceEnv = "FAULT_TRACE"
	// fixedSeeds is the number of seeds that TestSeeds runs.
	fixedSeeds = 300
	shards     = 4
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// runSeed runs one seed and returns the violation with the command that repeats it, or "".
func runSeed(seed int) (map[string]int, string) {
	counts, failure := scenarios.Example(seed).runWithCounts(nil)
	if failure == "" {
		return counts, ""
	}
	return counts, fmt.Sprintf("%s\nrepeat: %s=%d go test ./internal/faulttest -run TestSeed$ -v", failure, seedEnv, seed)
}

// TestSeeds guards against a regression in any invariant of docs/design.md that the oracle checks.
func TestSeeds(t *testing.T) {
	var mu sync.Mutex
	total := make(map[string]int)
	var failed atomic.Bool
	t.Cleanup(func() { t.Logf("%d seeds: %v", fixedSeeds, total) })
	for shard := range shards {
		t.Run(fmt.Sprintf("shard%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < fixedSeeds && !failed.Load(); seed += shards {
				counts, failure := runSeed(seed)
				if failure != "" {
					failed.Store(true)
					t.Fatal(failure)
				}
				mu.Lock()
				for what, n := range counts {
					total[what] += n
				}
				mu.Unlock()
			}
		})
	}
}

// TestStoppedAttemptStaysFenced guards against a repeated hold and a start that arrive after the stop of their attempt
// and are accepted. Random scenarios rarely produce this order, because the first start has to be lost as well.
func TestStoppedAttemptStaysFenced(t *testing.T) {
	l := agent.NewLedger(protocol.Identity{Agent: "w", Incarnation: "1", Kind: protocol.KindWorker, Units: 8})
	l.ExtendLease(epoch)
	ref := protocol.TaskRef{Job: contendedJob.Key, Attempt: 1, Claim: "c"}
	hold := protocol.HoldArgs{Incarnation: "1", Attempt: ref.Attempt, Claim: ref.Claim, Units: 8, Spec: contendedJob,
		Members: []model.Member{{Agent: "w", Incarnation: "1", Units: 8}}}
	if reply := l.Hold(epoch, hold); !reply.OK {
		t.Fatalf("hold: %+v", reply)
	}
	l.Stop(epoch, protocol.StopArgs{Incarnation: "1", Task: ref})
	if reply := l.Hold(epoch, hold); reply.OK || l.Free() != 8 {
		t.Errorf("a hold of a stopped attempt: %+v, %d units free, want it refused", reply, l.Free())
	}
	if reply, launch := l.Start(epoch, protocol.StartArgs{Incarnation: "1", Task: ref}); reply.OK || launch != nil {
		t.Errorf("a start of a stopped attempt: %+v, want it refused", reply)
	}
}

// TestLedgerRefusesLateLaunchAndReportsStartedAttempt guards against a launch after the agent's lease has expired, and
// against the answer "did not run" for an attempt that ran and whose result was removed. Random scenarios rarely
// produce either.
func TestLedgerRefusesLateLaunchAndReportsStartedAttempt(t *testing.T) {
	l := agent.NewLedger(protocol.Identity{Agent: "w", Incarnation: "1", Kind: protocol.KindWorker, Units: 8})
	l.ExtendLease(epoch)
	ref := protocol.TaskRef{Job: contendedJob.Key, Attempt: 1, Claim: "c"}
	l.Hold(epoch, protocol.HoldArgs{Incarnation: "1", Attempt: ref.Attempt, Claim: ref.Claim, Units: 8,
		Spec: contendedJob})
	if reply, launch := l.Start(epoch, protocol.StartArgs{Incarnation: "1", Task: ref}); !reply.OK || launch == nil {
		t.Fatalf("start: %+v", reply)
	}
	if late := epoch.Add(protocol.AgentLease + time.Second); !l.MayLaunch(epoch, ref) || l.MayLaunch(late, ref) {
		t.Error("the ledger refuses a launch within the agent lease or permits one after it")
	}
	l.RecordResult(ref, protocol.TaskDone, nil, "")
	l.RemoveAcknowledged(epoch, []protocol.TaskRef{ref})
	if reply, _ := l.Stop(epoch, protocol.StopArgs{Incarnation: "1", Task: ref}); reply == nil || !reply.Started {
		t.Errorf("stop of an attempt that ran and whose result was removed: %+v, want it reported as started", reply)
	}
}

// TestRunDependsOnSeedOnly guards against a source of randomness or timing other than the seed: the traces of two runs
// of a scenario must agree, up to the end of the shorter one.
func TestRunDependsOnSeedOnly(t *testing.T) {
	for seed := range 8 {
		var lines [2][]string
		for i := range lines {
			scenarios.Example(seed).run(func(format string, args ...any) {
				lines[i] = append(lines[i], fmt.Sprintf(format, args...))
			})
		}
		for i := range min(len(lines[0]), len(lines[1])) {
			if lines[0][i] != lines[1][i] {
				t.Fatalf("two runs of seed %d differ:\n%s\n%s", seed, lines[0][i], lines[1][i])
			}
		}
	}
}

// TestFuzz runs consecutive seeds for the duration in FUZZ_TIME. The first seed depends on the time of day.
func TestFuzz(t *testing.T) {
	limit, err := time.ParseDuration(os.Getenv(timeEnv))
	if err != nil {
		t.Skipf("%s is not set to a duration", timeEnv)
	}
	first, end := int(time.Now().UnixNano()%1_000_000_000)*1000, time.Now().Add(limit)
	var mu sync.Mutex
	runs := 0
	t.Cleanup(func() { t.Logf("played %d seeds from %d", runs, first) })
	for shard := range shards {
		t.Run(fmt.Sprintf("shard%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := first + shard; time.Now().Before(end); seed += shards {
				if _, failure := runSeed(seed); failure != "" {
					t.Error(failure)
				}
				mu.Lock()
				runs++
				mu.Unlock()
			}
		})
	}
}

// TestSeed repeats the seed in FAULT_SEED and, if it fails, reduces the scenario to the steps that a failure needs.
func TestSeed(t *testing.T) {
	seed, err := strconv.Atoi(os.Getenv(seedEnv))
	if err != nil {
		t.Skipf("%s is not set to a seed", seedEnv)
	}
	sc := scenarios.Example(seed)
	failure := sc.run(nil)
	if failure != "" {
		sc, failure = shrink(sc, failure)
	}
	for _, s := range sc.Steps {
		t.Logf("step %+v", s)
	}
	if os.Getenv(traceEnv) != "" {
		klog.SetOutput(os.Stdout)
		sc.run(func(format string, args ...any) { fmt.Printf(format+"\n", args...) })
	}
	if failure != "" {
		t.Fatalf("%d entries, workers %v, executors %v: %s", sc.Entries, sc.Workers, sc.Executors, failure)
	}
}

// shrink removes ranges of steps as long as the scenario still fails. It begins no new attempt after 20 s.
func shrink(sc scenario, failure string) (scenario, string) {
	end := time.Now().Add(20 * time.Second)
	for size := len(sc.Steps) / 2; size > 0; size /= 2 {
		for first := 0; first+size <= len(sc.Steps) && time.Now().Before(end); {
			candidate := sc
			candidate.Steps = append(append([]step(nil), sc.Steps[:first]...), sc.Steps[first+size:]...)
			if f := candidate.run(nil); f != "" {
				sc, failure = candidate, f
			} else {
				first += size
			}
		}
	}
	return sc, failure
}
