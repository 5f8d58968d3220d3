package cmds

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/setup"
)

// settingsInterval is how often the modification time of the settings file is
// checked, since the file may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reloads the settings file on SIGHUP and when it has changed.
// Settings that cannot be loaded are logged, and the previous ones stay in force.
func watchSettings(
	ctx context.Context, path string, role platform.Role, hangups <-chan os.Signal, logger *zap.Logger, apply func(*setup.Host),
) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModified := modTime(path, logger)
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-hangups:
			event.SignalReceived.Log(logger, zap.Stringer("signal", received))
		case <-ticker.C:
			if modTime(path, logger).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path, logger)
		settings, err := platform.LoadSettings(path, role)
		if err != nil {
			event.SettingsRefused.Log(logger, zap.Error(err))
			continue
		}
		apply(settings)
	}
}

func modTime(path string, logger *zap.Logger) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		event.SettingsRefused.Log(logger, zap.Error(err))
		return time.Time{}
	}
	return info.ModTime()
}
