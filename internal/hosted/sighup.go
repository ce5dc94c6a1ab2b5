package hosted

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/platform"
)

// CheckSettingsOnSIGHUP reads and validates the settings file at each SIGHUP until ctx ends, and does not apply it. All
// settings are names, addresses and limits that are fixed for the lifetime of a process, so a change takes effect at
// the next start.
func CheckSettingsOnSIGHUP(ctx context.Context, s *platform.Settings, load func() (*platform.Settings, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				checkSettings(s, load)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// checkSettings reports whether the settings on disk differ from those in use. Invalid settings are logged and do not
// count as a change.
func checkSettings(s *platform.Settings, load func() (*platform.Settings, error)) bool {
	loaded, err := load()
	if err != nil {
		klog.ErrorS(err, "Settings file not usable", "inUse", "the settings read at start")
		return false
	}
	loaded.MetricsPort = s.MetricsPort // is set by a flag and not part of the file
	changed := !reflect.DeepEqual(loaded, s)
	klog.InfoS("Settings file checked", "changed", changed,
		"effect", map[bool]string{true: "at the next start", false: "none"}[changed])
	return changed
}
