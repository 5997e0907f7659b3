package cmds

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// reload reads the settings file on each signal. Addresses and bounds hold for the
// life of the process, so that a changed file takes effect at the next start.
func reload(file string, signals <-chan os.Signal) {
	for range signals {
		if _, err := site.LoadSettings(file); err != nil {
			logrus.WithError(err).Error("settings file is not valid; the settings of the start stay in force")
			continue
		}
		logrus.WithField("file", file).Info("settings file read; changes take effect at the next start")
	}
}
