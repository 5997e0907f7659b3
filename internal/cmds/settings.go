package cmds

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// checkSettingsOnSignal checks the settings file on each signal. It does not apply the file:
// addresses and bounds are fixed until the process ends, so a changed file takes
// effect at the next start.
func checkSettingsOnSignal(file string, signals <-chan os.Signal) {
	for range signals {
		if _, err := site.LoadSettings(file); err != nil {
			logrus.WithError(err).Error("settings file is not valid; the settings read at the start stay in force")
			continue
		}
		logrus.WithField("file", file).Info("settings file is valid; changes take effect at the next start")
	}
}
