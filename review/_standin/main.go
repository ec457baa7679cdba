// Command standin plays one case of the review: it starts the VMs as processes, stands in for
// the platform, servers and clients, and judges by what these have seen.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held    = 0
	broken  = 1
	unknown = 2
)

var cases = map[string]func(s *site, trouble bool) error{
	"reset": resetByVM, "drain": drainIgnored, "route": wrongService, "start": noStart, "stale": staleSettings, "large": largeSettings,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(unknown)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// playUntil plays a case until it ends or a signal arrives.
func playUntil(s *site, one func(s *site, trouble bool) error, trouble bool) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- one(s, trouble) }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return errors.New("interrupted")
	}
}

func play(one func(s *site, trouble bool) error, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer func() { _ = file.Close() }()
	record := bufio.NewWriter(file)
	defer func() { _ = record.Flush() }()
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("trouble %v", trouble)
	err = playUntil(s, one, trouble)
	s.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		fmt.Fprintf(record, "could not run: %v\n", err)
		fmt.Println("could not run:", err)
		return unknown
	case len(s.broken) > 0:
		fmt.Fprintf(record, "rule broken %d times\n", len(s.broken))
		fmt.Printf("rule broken %d times, first: %s\n", len(s.broken), s.broken[0])
		return broken
	}
	fmt.Fprintln(record, "rule held")
	fmt.Println("rule held")
	return held
}
