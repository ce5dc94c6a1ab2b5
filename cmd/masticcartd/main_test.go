package main

import (
	"testing"

	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/platform"
)

// TestExitCodeOfInvalidSettings guards against pointless restarts: a supervisor must tell invalid settings, which a
// restart does not fix, from other failures by the exit code.
func TestExitCodeOfInvalidSettings(t *testing.T) {
	app := newApp()
	if code := exitCode(app.Run(t.Context(), []string{"masticcartd", "platform"})); code != exitSettings {
		t.Errorf("missing platform settings: exit code %d, want %d", code, exitSettings)
	}
	if code := exitCode(&settings.Error{}); code != exitSettings {
		t.Errorf("invalid settings file: exit code %d, want %d", code, exitSettings)
	}
	if _, err := platform.LoadSettings(); exitCode(err) != exitFailure {
		t.Errorf("other failure %v: exit code is not %d", err, exitFailure)
	}
}
