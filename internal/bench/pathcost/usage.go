package main

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // only an invalid argument fails
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMemory returns the resident memory of the process in KB, 0 where
// /proc is not available.
func residentMemory() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return float64(pages) * float64(os.Getpagesize()) / 1024
}
