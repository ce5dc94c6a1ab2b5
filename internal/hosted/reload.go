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

// CheckSettingsOnSIGHUP checks the settings again at each SIGHUP, until ctx ends. All that this process reads of them names it or
// binds it to addresses and bounds of the deployment, so a change of these takes effect at the next start.
func CheckSettingsOnSIGHUP(ctx context.Context, s *platform.Settings, load func() (*platform.Settings, error)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				reload(s, load)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// reload reports whether the settings on disk differ from those in use. Wrong ones are logged and not used.
func reload(s *platform.Settings, load func() (*platform.Settings, error)) bool {
	fresh, err := load()
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded", "inUse", "those before")
		return false
	}
	fresh.MetricsPort = s.MetricsPort // is not in the file
	changed := !reflect.DeepEqual(fresh, s)
	klog.InfoS("Settings reloaded", "changed", changed, "effect", map[bool]string{true: "at the next start", false: "none"}[changed])
	return changed
}
