// Package sparexplain joins the log lines of several VMs that explain one flow: the lines
// about the flow itself, about the state of its upstreams, and about the settings of the
// VMs.
//
//	trace, err := sparexplain.Read(logs, "100.64.0.12:1025")
//	for _, line := range trace {
//		fmt.Println(line)
//	}
//
// Lines that are not JSON objects logged by a VM are skipped.
package sparexplain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// margin is how long before the first and after the last line about the flow other
	// lines are included.
	margin = 5 * time.Second

	maxLine = 1 << 20
)

type (
	// Line is one line of a log.
	Line struct {
		At      time.Time
		VM      string
		Message string
		Fields  map[string]any
	}

	// Trace is the lines that explain a flow, in order of time.
	Trace []Line
)

// firstFields are printed first in a line; the others follow sorted by name.
var firstFields = []string{"flow", "do", "cause", "upstream"}

// ErrNoLine means that no log has a line about the flow.
const ErrNoLine = errors.ConstError("no line about the flow")

// Read returns the trace of a flow. The flow is given by one endpoint, "a.b.c.d:port", or
// by both as the log writes them.
func Read(logs []io.Reader, flow string) (t Trace, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "flow %s", flow)
		}
	}()
	var all []Line
	for _, r := range logs {
		lines, err := parse(r)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return !l.about(flow) })
	if len(own) == 0 {
		return nil, ErrNoLine
	}
	slices.SortStableFunc(own, byTime)
	for _, l := range all {
		if l.about(flow) || l.relatedTo(own) {
			t = append(t, l)
		}
	}
	slices.SortStableFunc(t, byTime)
	return t, nil
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

func parse(r io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		var fields map[string]any
		if start := slices.Index(text, '{'); start < 0 || json.Unmarshal(text[start:], &fields) != nil {
			continue
		}
		l := Line{Fields: fields}
		l.VM, l.Message = l.text("vm"), l.text("msg")
		if l.At, err = time.Parse(time.RFC3339Nano, l.text("time")); err != nil || l.VM == "" {
			continue
		}
		for _, name := range []string{"vm", "msg", "time", "level"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, errors.Trace(scanner.Err())
}

func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// about reports whether the line is about the flow.
func (l Line) about(flow string) bool {
	text := l.text("flow")
	from, to, _ := strings.Cut(text, ">")
	return text != "" && (text == flow || from == flow || to == flow)
}

// relatedTo reports whether the line, which is about no flow itself, is within margin of own,
// the lines about the flow, and comes from a VM that logged one of them. It must be about the
// upstream of that line, or about no upstream: the settings or the state of the VM.
func (l Line) relatedTo(own []Line) bool {
	if l.Fields["flow"] != nil || l.At.Before(own[0].At.Add(-margin)) || l.At.After(own[len(own)-1].At.Add(margin)) {
		return false
	}
	return slices.ContainsFunc(own, func(o Line) bool {
		if o.VM != l.VM {
			return false
		}
		return l.text("upstream") == "" || l.text("upstream") == o.text("upstream")
	})
}

// String returns the line with its fields in a fixed order.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s:", l.At.UTC().Format("15:04:05.000"), l.VM, l.Message)
	names := slices.SortedFunc(maps.Keys(l.Fields), func(a, c string) int {
		return cmp.Or(cmp.Compare(position(a), position(c)), strings.Compare(a, c))
	})
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// position returns the index of a field in firstFields, or the number of them for others.
func position(name string) int {
	if i := slices.Index(firstFields, name); i >= 0 {
		return i
	}
	return len(firstFields)
}
