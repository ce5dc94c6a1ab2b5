package refusal

import (
	"testing"
	"time"
)

// Guards against a worker that is tried without a pause while it refuses each start, and against one that is not tried again
// soon after it has recovered.
func TestPausesGrowAndStayBounded(t *testing.T) {
	var h History
	attempts, last := 0, time.Duration(0)
	for at := time.Duration(0); at <= 20*time.Second; at += 10 * time.Millisecond {
		if h.Paused(at) {
			if at-last > 2*time.Second {
				t.Fatalf("no attempt for %v at %v", at-last, at)
			}
			continue
		}
		attempts, last = attempts+1, at
		h.Refuse(at)
		h.Refuse(at + time.Millisecond) // sent together with the first one
	}
	if attempts < 10 || attempts > 14 {
		t.Errorf("%d attempts in 20 s, want one about every 2 s", attempts)
	}
	if refusing := h.RefusingFor(20 * time.Second); refusing != last {
		t.Errorf("refusing for %v, want %v", refusing, last)
	}
	h.Accept()
	if h.Refusing(20*time.Second) || h.Paused(20*time.Second) {
		t.Error("a worker that accepts a start still counts as refusing")
	}
}

// Guards against refusals that are held against a worker for good.
func TestRefusalsAreForgotten(t *testing.T) {
	var h History
	h.Refuse(time.Second)
	h.Refuse(3 * time.Second)
	if now := 14 * time.Second; h.Refusing(now) || h.RefusingFor(now) != 0 {
		t.Error("a refusal is remembered for 11 s")
	}
	h.Refuse(14 * time.Second)
	if h.Paused(14*time.Second + minPause) {
		t.Error("a refusal that is forgotten extends the pause")
	}
}

// Guards against a next leader that begins anew with a worker that refuses each start, and against summaries that no sound
// process sends.
func TestSummaryKeepsThePause(t *testing.T) {
	var h History
	for _, at := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second} {
		h.Refuse(at)
	}
	now := 3500 * time.Millisecond
	s, ok := h.Summary(now)
	if !ok {
		t.Fatal("no summary of a worker that refuses starts")
	}
	other := 100 * time.Second
	restored := Restore(s, other)
	for _, d := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
		if h.Paused(now+d) != restored.Paused(other+d) || h.Refusing(now+d) != restored.Refusing(other+d) ||
			h.RefusingFor(now+d) != restored.RefusingFor(other+d) {
			t.Errorf("after %v the restored history differs", d)
		}
	}
	for _, s := range []Summary{{}, {Count: -1}, {Count: 1, SinceMS: 1, LastMS: 2}, {Count: 1, SinceMS: -5, LastMS: -5},
		{Count: 1, SinceMS: 1 << 62, LastMS: 1 << 62}} {
		if h := Restore(s, other); h.Refusing(other) {
			t.Errorf("%+v is restored", s)
		}
	}
	if h := Restore(Summary{Count: 1, SinceMS: 1 << 62}, other); h.RefusingFor(other) != maxAge {
		t.Errorf("refusing for %v, want at most %v", h.RefusingFor(other), maxAge)
	}
}
