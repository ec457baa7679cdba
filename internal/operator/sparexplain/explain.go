// Package sparexplain joins the log lines of several VMs that explain one flow: its own
// lines, what the VMs believed of its upstreams, and what happened to their settings.
//
//	story, err := sparexplain.Read(logs, "100.64.0.12:1025")
//	for _, line := range story {
//		fmt.Println(line)
//	}
//
// Lines that are no JSON objects of a VM are passed over.
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
	// around is the time before and after the flow's own lines that belongs to its story.
	around = 5 * time.Second

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

	// Story is the lines that explain a flow, in order of time.
	Story []Line
)

// shown are the fields that a line begins with; the others follow in order of name.
var shown = []string{"flow", "do", "cause", "upstream"}

// ErrNoLine is the cause where no log tells of the flow.
const ErrNoLine = errors.ConstError("no line of the flow")

// Read returns the story of the flow with an end, "a.b.c.d:port", or with both ends as
// the log writes them.
func Read(logs []io.Reader, flow string) (s Story, err error) {
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
	own := slices.DeleteFunc(slices.Clone(all), func(l Line) bool { return !l.of(flow) })
	if len(own) == 0 {
		return nil, ErrNoLine
	}
	slices.SortStableFunc(own, byTime)
	for _, l := range all {
		if l.of(flow) || l.explains(own) {
			s = append(s, l)
		}
	}
	slices.SortStableFunc(s, byTime)
	return s, nil
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

// of reports whether the line tells of the flow.
func (l Line) of(flow string) bool {
	text := l.text("flow")
	from, to, _ := strings.Cut(text, ">")
	return text != "" && (text == flow || from == flow || to == flow)
}

// explains reports whether the line tells of an upstream of the flow, or of the settings
// and the life of a VM that the flow passed, near its own lines.
func (l Line) explains(own []Line) bool {
	if l.Fields["flow"] != nil || l.At.Before(own[0].At.Add(-around)) || l.At.After(own[len(own)-1].At.Add(around)) {
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
		return cmp.Or(cmp.Compare(place(a), place(c)), strings.Compare(a, c))
	})
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// place returns the position of a field in a line.
func place(name string) int {
	if i := slices.Index(shown, name); i >= 0 {
		return i
	}
	return len(shown)
}
