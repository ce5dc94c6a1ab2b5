package evacuation

import (
	"testing"
	"time"
)

// TestSetIsImmutable guards against a change of the requests that a scheduler is using while it plans.
func TestSetIsImmutable(t *testing.T) {
	t.Parallel()
	var empty Set
	one := empty.With(Request{Cell: "b", Revision: 1})
	two := one.With(Request{Cell: "a", Revision: 2})
	again := two.With(Request{Cell: "b", Revision: 3})
	without := again.Without("b").Without("c")
	for _, c := range []struct {
		name string
		set  Set
		a, b int64
	}{{"empty", empty, 0, 0}, {"one", one, 0, 1}, {"two", two, 2, 1}, {"again", again, 2, 3}, {"without", without, 2, 0}} {
		a, _ := c.set.Find("a")
		b, _ := c.set.Find("b")
		if int64(a.Revision) != c.a || int64(b.Revision) != c.b {
			t.Errorf("%s: revisions a %d, b %d, want %d and %d", c.name, a.Revision, b.Revision, c.a, c.b)
		}
	}
}

// TestStartsUntil guards against starts on an old view: a request that was acknowledged just after the confirmation allows
// them for less than the bound.
func TestStartsUntil(t *testing.T) {
	t.Parallel()
	v := View{ConfirmedAt: 10 * time.Second}
	if until := v.StartsUntil(5 * time.Second); until >= 15*time.Second || until <= 14*time.Second {
		t.Errorf("starts until %v, want within the last second of the bound of 15s", until)
	}
}
