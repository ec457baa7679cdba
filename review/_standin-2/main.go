// Command standin-2 plays the cases of the second review that are scripts. It starts the program
// of the deploy file as separate processes on loopback addresses, and stands in for the platform's
// store, the fabric, the servers and the clients.
//
//	target/review-2/standin-2 CASE record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes.
const (
	held0    = 0
	broken   = 1
	couldNot = 2
)

// play runs a case and returns the number of times that the rule was broken.
type play func(path string, trouble bool) (breaks int, err error)

var cases = map[string]play{
	"moved-route":  movedRoute,
	"late-syn":     lateSYN,
	"cold-server":  coldServer,
	"other-writer": otherWriter,
	"latin-writer": latinWriter,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE record.txt")
		os.Exit(couldNot)
	}
	runtime.LockOSThread() // VMs end with the thread that started them
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		if running != nil {
			running.close()
		}
		os.Exit(couldNot)
	}()
	breaks, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(couldNot)
	case breaks > 0:
		fmt.Printf("broken %d times\n", breaks)
		os.Exit(broken)
	}
	fmt.Println("held")
	os.Exit(held0)
}
