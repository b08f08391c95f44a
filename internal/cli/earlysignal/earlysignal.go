// Package earlysignal takes over the signals of a process when it is initialized, before the main function runs. Only
// main packages may import it.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// maxSignals is the number of signals of each channel that wait until they are received.
const maxSignals = 2

var (
	// Stop receives the signals that end the process.
	Stop = notify(os.Interrupt, syscall.SIGTERM)
	// Reload receives the signal that the settings file has changed.
	Reload = notify(syscall.SIGHUP)
)

// notify depends on nothing but the standard packages imported above, so that the packages of the program and most
// others are initialized after this one.
func notify(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, maxSignals)
	signal.Notify(c, signals...)
	return c
}
