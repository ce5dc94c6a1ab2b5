package main

import (
	"testing"

	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/platform"
)

// Supervisors tell wrong settings, which a restart does not mend, from a failure by the exit code.
func TestExitCodeTellsWrongSettings(t *testing.T) {
	app := newApp()
	if code := exitCode(app.Run(t.Context(), []string{"masticcartd", "platform"})); code != exitSettings {
		t.Errorf("a missing platform file: exit code %d, want %d", code, exitSettings)
	}
	if code := exitCode(&settings.Error{}); code != exitSettings {
		t.Errorf("a wrong settings file: exit code %d, want %d", code, exitSettings)
	}
	if _, err := platform.LoadSettings(); exitCode(err) != exitFailure {
		t.Errorf("any other failure: %v is not exit code %d", err, exitFailure)
	}
}
