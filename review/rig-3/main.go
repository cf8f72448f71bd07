// Command rig plays the cases of the third review that can't be put as a day of the users' bench. It starts
// nodes as processes, with the command of the deploy file, and stand-ins for the store, the servers and the
// clients. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns what broke the rule, "" if it held.
var cases = map[string]func(r *rig) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD; run it in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, writes its record, and returns the exit code.
func play(name, record string) int {
	binary, err := filepath.Abs("target/fuchsiapierd")
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig: the node isn't built:", err)
		return 2
	}
	r, err := newRig(binary, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.close()
		os.Exit(2)
	}()
	defer r.close()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		r.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	r.note("HELD")
	fmt.Println("held")
	return 0
}
