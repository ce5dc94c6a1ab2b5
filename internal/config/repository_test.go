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

// lateStore answers some writes with ErrUnknownOutcome and carries them out later, or never.
type lateStore struct {
	*memstore.Store
	mu     sync.Mutex
	random *rand.Rand
	late   float64
	wg     sync.WaitGroup
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expect kvstore.Revision, id kvstore.LeaseID) (
	kvstore.Revision, error) {
	s.mu.Lock()
	late, dropped, delay := s.random.Float64() < s.late, s.random.IntN(3) == 0, time.Duration(s.random.IntN(400))*time.Millisecond
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

// call and answer are one operation of the history that porcupine checks. Bit is the mark that a change adds.
type call struct {
	change bool
	base   int64
	bit    uint64
}

type answer struct {
	err     error
	version int64
	mask    uint64
}

type state struct {
	version int64
	mask    uint64
}

// repositoryModel is a register with compare-and-swap on the version: what Change and Load promise.
var repositoryModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(st, in, out any) []any {
		s, c, a := st.(state), in.(call), out.(answer)
		applied := state{s.version + 1, s.mask | c.bit}
		fits := c.base == AnyBase || c.base == s.version
		var stale *StaleError
		switch {
		case !c.change:
			return states(a.err != nil || s == state{a.version, a.mask}, s)
		case a.err == nil:
			return states(fits && applied == state{a.version, a.mask}, applied)
		case errors.As(a.err, &stale):
			return states(!fits && stale.Head == s.version, s)
		case errors.Is(a.err, ErrUnknownOutcome) && fits:
			return []any{s, applied}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

func states(possible bool, s state) []any {
	if !possible {
		return nil
	}
	return []any{s}
}

const (
	operators = 4
	rounds    = 6
)

type race struct {
	store   *lateStore
	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
	unknown bool // whether any outcome was unknown
}

// TestRacingOperators guards against versions given twice, accepted changes that are lost, "not applied" reported for
// a change that was or will be applied, and processes whose version goes down, while writes are lost, late or
// refused by outages.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.Float64Range(0, 0.5).Draw(rt, "lost")
		late := rapid.SampledFrom([]float64{0, 0.2, 0.4}).Draw(rt, "late")
		outages := rapid.Bool().Draw(rt, "outages")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runRace(seed, lost, late, outages) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func runRace(seed uint64, lost, late float64, outages bool) string {
	ctx, cancel := context.WithCancel(context.Background())
	mem := memstore.New(time.Now)
	mem.SeedFaults(seed)
	mem.SetFaults(memstore.Faults{LoseAnswers: lost})
	r := &race{store: &lateStore{Store: mem, random: rand.New(rand.NewPCG(seed, 1)), late: late}}
	applier, watched := NewApplier(), make(chan struct{})
	go func() { defer close(watched); NewWatcher(mem, applier).Run(ctx) }()
	regressed, seen := false, int64(0)
	signal := applier.Subscribe()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signal:
			}
			// A version that was read with the signal before may be signalled again.
			v := applier.Version()
			regressed = regressed || v < seen
			seen = v
		}
	}()
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() { r.operate(op, rand.New(rand.NewPCG(seed, uint64(op)+2))) })
	}
	if outages {
		wg.Go(func() { r.interrupt(lost, rand.New(rand.NewPCG(seed, 99))) })
	}
	wg.Wait()
	r.store.wg.Wait()
	mem.SetFaults(memstore.Faults{})
	r.record(call{}, r.load)
	time.Sleep(2 * watchRetryMax)
	synctest.Wait()
	head, _ := NewRepository(mem).Load(ctx)
	cancel()
	<-watched
	synctest.Wait()
	switch {
	case !porcupine.CheckOperations(repositoryModel.ToModel(), r.history):
		return fmt.Sprintf("history is not linearizable: %+v", r.history)
	case late == 0 && !outages && r.unknown:
		return "an outcome is unknown although the platform can be read"
	case applier.Version() != head.Version:
		return fmt.Sprintf("version in force %d, head %d", applier.Version(), head.Version)
	case regressed || seen != head.Version:
		return fmt.Sprintf("a subscriber saw the version go down (%t) and last version %d, head %d", regressed, seen, head.Version)
	}
	return ""
}

func (r *race) operate(op int, random *rand.Rand) {
	base := AnyBase
	for i := range rounds {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		bit := op*rounds + i
		c := call{change: true, base: AnyBase, bit: 1 << bit}
		if random.IntN(2) == 0 {
			c.base = base
		}
		r.record(c, func(ctx context.Context) (*model.Config, error) {
			return NewRepository(r.store).Change(ctx, c.base, func(c *model.Config) error {
				c.Rules = append(c.Rules, model.Rule{Kind: fmt.Sprint(bit), Class: model.ClassNormal})
				return nil
			})
		})
		if a := r.record(call{}, r.load); a.err == nil {
			base = a.version
		}
	}
}

func (r *race) load(ctx context.Context) (*model.Config, error) {
	return NewRepository(r.store).Load(ctx)
}

// interrupt alternates outages with service. They overlap the searches for lost answers.
func (r *race) interrupt(lost float64, random *rand.Rand) {
	for range 4 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		r.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		r.store.SetFaults(memstore.Faults{LoseAnswers: lost})
	}
}

// record runs one operation and adds it to the history. A change of unknown outcome may take effect at any later time.
func (r *race) record(in call, do func(context.Context) (*model.Config, error)) answer {
	start := r.clock.Add(1)
	c, err := do(context.Background())
	out, end := answer{err: err}, r.clock.Add(1)
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

// TestApplier guards against a version that is put in force twice, or after a higher one, by racing sources.
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
				now := a.Version()
				if now < last || now < int64(v+1) {
					t.Errorf("version %d in force after %d was and %d was offered", now, last, v+1)
				}
				last = now
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

// TestStaleBase guards against a refusal that does not tell the operator what changed, and against a document that
// grows without bound.
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
	if !errors.As(err, &stale) || stale.Base != 1 || stale.Head != historyLength+3 || len(stale.Changes) != historyLength+1 {
		t.Fatalf("got %v", err)
	}
	if got, want := stale.Changes[0], "versions 2 to 3 are no longer in the history"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := stale.Changes[1], "version 4: team pramen changed: 0 tokens, max-accelerators 3"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestValidate guards against documents that the scheduler could not act on, and against an ambiguous token.
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
	for want, spoil := range map[string]func(*model.Config){
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
		spoil(c)
		if err := Validate(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
