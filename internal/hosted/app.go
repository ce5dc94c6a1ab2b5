package hosted

import (
	"runtime/debug"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"masticcart.example/masticcart/platform"
)

const (
	// gcPercent makes the garbage collector run more often than by default, because memory is scarcer than CPU time.
	gcPercent = 40
	// memoryLimitFraction is the fraction of the memory limit above which the garbage collector runs still more often.
	memoryLimitFraction = 0.8
	// StartTimeout bounds the start of a process.
	StartTimeout = 10 * time.Second
	// StopTimeout bounds the stop of a process. It is above the grace period of the platform.
	StopTimeout = time.Minute
)

// New returns the application of an entry or an agent, and sets the limits of the garbage collector.
func New(s *platform.Settings) *fx.App {
	debug.SetGCPercent(gcPercent)
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryLimitFraction))
	}
	role := EntryModule
	if !s.IsEntry() {
		role = AgentModule
	}
	return fx.New(fx.Supply(s, commonSettings(s)), role, fx.StartTimeout(StartTimeout), fx.StopTimeout(StopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
}
