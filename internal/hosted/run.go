package hosted

import (
	"runtime/debug"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"masticcart.example/masticcart/platform"
)

const (
	// gcPercent trades processor time, of which little is used, for memory, which is dear.
	gcPercent = 40
	// memoryShare is the part of the memory limit from which on the collector works harder.
	memoryShare = 0.8
	// StartTimeout bounds the start of a process.
	StartTimeout = 10 * time.Second
	// StopTimeout is above the grace period of the platform.
	StopTimeout = time.Minute
)

// New returns the application of a process on the platform.
func New(s *platform.Settings) *fx.App {
	debug.SetGCPercent(gcPercent)
	if mb := s.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb<<20) * memoryShare))
	}
	role := EntryModule
	if !s.IsEntry() {
		role = AgentModule
	}
	return fx.New(fx.Supply(s, processSettings(s)), role, fx.StartTimeout(StartTimeout), fx.StopTimeout(StopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
}
