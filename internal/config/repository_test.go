package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/model"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// delayedWriteStore returns ErrUnknownOutcome for a fraction of the writes. It carries out two thirds of these later
// and drops the others.
type delayedWriteStore struct {
	*memstore.Store
	mu           sync.Mutex
	random       *rand.Rand
	lateFraction float64        // probability that a write is delayed or dropped
	wg           sync.WaitGroup // delayed writes
}

func (s *delayedWriteStore) Put(ctx context.Context, key string, value []byte, expect kvstore.Revision,
	id kvstore.LeaseID) (kvstore.Revision, error) {
	s.mu.Lock()
	late, dropped, delay := s.random.Float64() < s.lateFraction, s.random.IntN(3) == 0,
		time.Duration(s.random.IntN(400))*time.Millisecond
	s.mu.Unlock()
	if !late {
		return s.Store.Put(ctx, key, value, expect, id)
	}
	if !dropped {
		s.wg.Go(func() {
			time.Sleep(delay)
			_, _ = s.Store.Put(context.Background(), key, value, expect, id)
		})
	}
	return 0, kvstore.ErrUnknownOutcome
}

// operation is the input of an operation in the history that porcupine checks: a load, or a change that sets its own
// bit in the mask of the document.
type operation struct {
	change bool
	base   int64
	bit    uint64
}

// outcome is the output of an operation in the history. Version and mask are those of the returned configuration.
type outcome struct {
	err     error
	version int64
	mask    uint64
}

// modelState is the state of the document in repositoryModel.
type modelState struct {
	version int64
	mask    uint64
}

// repositoryModel specifies Change and Load as a register with compare-and-swap on the version.
var repositoryModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(operation), output.(outcome)
		applied := modelState{s.version + 1, s.mask | in.bit}
		baseMatches := in.base == AnyBase || in.base == s.version
		var stale *StaleError
		switch {
		case !in.change:
			return stateIf(out.err != nil || s == modelState{out.version, out.mask}, s)
		case out.err == nil:
			return stateIf(baseMatches && applied == modelState{out.version, out.mask}, applied)
		case errors.As(out.err, &stale):
			return stateIf(!baseMatches && stale.Head == s.version, s)
		case errors.Is(out.err, ErrUnknownOutcome) && baseMatches:
			return []any{s, applied}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// stateIf returns the state that follows an operation, or none if the model does not allow the operation.
func stateIf(allowed bool, s modelState) []any {
	if !allowed {
		return nil
	}
	return []any{s}
}

const (
	operatorCount      = 4
	changesPerOperator = 6
)

// concurrentRun is one run of concurrent operators and the history of their operations.
type concurrentRun struct {
	store   *delayedWriteStore
	clock   atomic.Int64 // logical time of the history
	mu      sync.Mutex
	history []porcupine.Operation
	unknown bool // whether any outcome was unknown
}

// TestConcurrentOperators guards against a version given to two changes, the loss of an accepted change, an error that
// denies a change which was or will be applied, and a process whose version decreases. Operators change the
// configuration concurrently while the platform loses responses, delays or drops writes, and has outages.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lostAnswers := rapid.Float64Range(0, 0.5).Draw(rt, "lost")
		late := rapid.SampledFrom([]float64{0, 0.2, 0.4}).Draw(rt, "late")
		outages := rapid.Bool().Draw(rt, "outages")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runConcurrently(seed, lostAnswers, late, outages) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runConcurrently runs the operators with the given faults and returns a description of the first violation, or "". The
// probabilities are those of a lost response to a write that was carried out and of a delayed or dropped write.
func runConcurrently(seed uint64, lostAnswers, late float64, outages bool) string {
	ctx, cancel := context.WithCancel(context.Background())
	mem := memstore.New(time.Now)
	mem.SeedFaults(seed)
	mem.SetFaults(memstore.Faults{LoseAnswers: lostAnswers})
	r := &concurrentRun{store: &delayedWriteStore{Store: mem, random: rand.New(rand.NewPCG(seed, 1)), lateFraction: late}}
	applier, watcherEnded := NewApplier(), make(chan struct{})
	go func() { defer close(watcherEnded); NewWatcher(mem, applier).Run(ctx) }()
	decreased, seen := false, int64(0)
	signal := applier.Subscribe()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signal:
			}
			// The same version may be read after two signals, since Apply puts it in force before it sends the signal.
			v := applier.Version()
			decreased = decreased || v < seen
			seen = v
		}
	}()
	var wg sync.WaitGroup
	for operator := range operatorCount {
		wg.Go(func() { r.runOperator(operator, rand.New(rand.NewPCG(seed, uint64(operator)+2))) })
	}
	if outages {
		wg.Go(func() { r.injectOutages(lostAnswers, rand.New(rand.NewPCG(seed, 99))) })
	}
	wg.Wait()
	r.store.wg.Wait()
	mem.SetFaults(memstore.Faults{})
	r.record(operation{}, r.load)
	time.Sleep(2 * watchRetryMax)
	synctest.Wait()
	head, _ := NewRepository(mem).Load(ctx)
	cancel()
	<-watcherEnded
	synctest.Wait()
	switch {
	case !porcupine.CheckOperations(repositoryModel.ToModel(), r.history):
		return fmt.Sprintf("history is not linearizable: %+v", r.history)
	case late == 0 && !outages && r.unknown:
		return "an outcome is unknown although the platform can be read"
	case applier.Version() != head.Version:
		return fmt.Sprintf("version in force %d, head %d", applier.Version(), head.Version)
	case decreased || seen != head.Version:
		return fmt.Sprintf("a subscriber saw the version go down (%t) and last version %d, head %d",
			decreased, seen, head.Version)
	}
	return ""
}

// runOperator makes changesPerOperator changes, about half of them with the last loaded version as the base.
func (r *concurrentRun) runOperator(operator int, random *rand.Rand) {
	base := AnyBase
	for i := range changesPerOperator {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		bit := operator*changesPerOperator + i
		in := operation{change: true, base: AnyBase, bit: 1 << bit}
		if random.IntN(2) == 0 {
			in.base = base
		}
		r.record(in, func(ctx context.Context) (*model.Config, error) {
			return NewRepository(r.store).Change(ctx, in.base, func(c *model.Config) error {
				c.Rules = append(c.Rules, model.Rule{Kind: fmt.Sprint(bit), Class: model.ClassNormal})
				return nil
			})
		})
		if out := r.record(operation{}, r.load); out.err == nil {
			base = out.version
		}
	}
}

func (r *concurrentRun) load(ctx context.Context) (*model.Config, error) {
	return NewRepository(r.store).Load(ctx)
}

// injectOutages makes the platform unavailable four times for up to 300 ms, so that outages overlap the searches for
// the outcomes of writes whose responses were lost.
func (r *concurrentRun) injectOutages(lostAnswers float64, random *rand.Rand) {
	for range 4 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		r.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		r.store.SetFaults(memstore.Faults{LoseAnswers: lostAnswers})
	}
}

// record runs one operation and adds it to the history. A change with an unknown outcome may take effect at any later
// time, so its operation never ends.
func (r *concurrentRun) record(in operation, run func(context.Context) (*model.Config, error)) outcome {
	start := r.clock.Add(1)
	c, err := run(context.Background())
	out, end := outcome{err: err}, r.clock.Add(1)
	if err == nil {
		out.version = c.Version
		for _, rule := range c.Rules {
			var bit int
			_, _ = fmt.Sscan(rule.Kind, &bit)
			out.mask |= 1 << bit
		}
	} else if errors.Is(err, ErrUnknownOutcome) {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unknown = r.unknown || end == math.MaxInt64
	r.history = append(r.history, porcupine.Operation{Input: in, Call: start, Output: out, Return: end})
	return out
}

// TestApplier guards against a version that is put in force twice, or after a higher one, by concurrent sources.
func TestApplier(t *testing.T) {
	const versions, sources = 200, 8
	a := NewApplier()
	var accepted [versions + 1]atomic.Int32
	var wg sync.WaitGroup
	for range sources {
		wg.Go(func() {
			last := int64(0)
			for _, v := range rand.Perm(versions) {
				if a.Apply(&model.Config{Version: int64(v + 1)}) {
					accepted[v+1].Add(1)
				}
				current := a.Version()
				if current < last || current < int64(v+1) {
					t.Errorf("version %d is in force after version %d was in force and version %d was applied", current, last, v+1)
				}
				last = current
			}
		})
	}
	wg.Wait()
	for v := range accepted {
		if n := accepted[v].Load(); n > 1 {
			t.Errorf("version %d was put in force %d times", v, n)
		}
	}
	if a.Apply(&model.Config{}) || a.Apply(nil) || a.Apply(&model.Config{Version: versions}) || a.Version() != versions {
		t.Errorf("version %d in force, want %d", a.Version(), versions)
	}
}

// TestStaleBase guards against a refusal of a stale base that does not list the changes since the base, and against a
// history that grows without bound.
func TestStaleBase(t *testing.T) {
	ctx, r := context.Background(), NewRepository(memstore.New(time.Now))
	for i := range historyLength + 3 {
		if _, err := r.Change(ctx, int64(i), func(c *model.Config) error {
			c.Teams = []model.Team{{Name: "pramen", MaxAccelerators: i}}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	_, err := r.Change(ctx, 1, func(*model.Config) error { return nil })
	var stale *StaleError
	if !errors.As(err, &stale) || stale.Base != 1 || stale.Head != historyLength+3 ||
		len(stale.Changes) != historyLength+1 {
		t.Fatalf("got %v", err)
	}
	if got, want := stale.Changes[0], "versions 2 to 3 are no longer in the history"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := stale.Changes[1], "version 4: team pramen changed: 0 tokens, max-accelerators 3"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestValidate guards against invalid documents, which the scheduler could not act on, and against a token that two
// callers share.
func TestValidate(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	shape := model.Shape{Accelerators: 8, Adjacency: model.AdjacentWorker}
	valid := func() *model.Config {
		return &model.Config{
			Teams:      []model.Team{{Name: "a", TokenHashes: []string{hash}, MaxAccelerators: 16}, {Name: "b"}},
			Guarantees: []model.Guarantee{{Team: "a", Cell: "riga-1", Shape: shape, Count: 2}},
			Rules:      []model.Rule{{Kind: "fit", Class: model.ClassUrgent}},
			Weights:    model.Weights{CompletionTime: 1},
		}
	}
	if err := Validate(valid()); err != nil {
		t.Fatal(err)
	}
	for want, invalidate := range map[string]func(*model.Config){
		"want 1 to 128 letters":   func(c *model.Config) { c.Teams[1].Name = "a/b" },
		"team a: is listed twice": func(c *model.Config) { c.Teams[1].Name = "a" },
		"not a SHA-256":           func(c *model.Config) { c.Teams[0].TokenHashes[0] = hash[2:] },
		"already in use by team a": func(c *model.Config) {
			c.Teams[1].TokenHashes = []string{strings.ToUpper(hash)}
		},
		"exceeds its max-accelerators": func(c *model.Config) { c.Guarantees[0].Count = 3 },
		"max-accelerators -1":          func(c *model.Config) { c.Teams[1].MaxAccelerators = -1 },
		`no team "c"`:                  func(c *model.Config) { c.Guarantees[0].Team = "c" },
		"count 0":                      func(c *model.Config) { c.Guarantees[0].Count = 0 },
		"only accelerators":            func(c *model.Config) { c.Guarantees[0].Shape = model.Shape{Slots: 1} },
		"largest gang":                 func(c *model.Config) { c.Guarantees[0].Shape.Accelerators = 1025 },
		"rule fit: is listed twice":    func(c *model.Config) { c.Rules = append(c.Rules, c.Rules[0]) },
		"is not urgent":                func(c *model.Config) { c.Rules[0].Class = "soon" },
		"weight fragmentation NaN":     func(c *model.Config) { c.Weights.Fragmentation = math.NaN() },
	} {
		c := valid()
		invalidate(c)
		if err := Validate(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
