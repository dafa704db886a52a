package soak

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestReadEvents checks what is recorded of a stream of two events: whole events count, a part of the next one is no foreign
// text, and a stream that ends inside an event ends early.
func TestReadEvents(t *testing.T) {
	first, second := platformtest.EventText(1, "c", "v1", 0), platformtest.EventText(2, "c", "v1", 0)
	for name, test := range map[string]struct {
		text    string
		events  int
		foreign bool
	}{
		"whole":              {first + second, 2, false},
		"early":              {first, 1, false},
		"inside an event":    {first + second[:20], 1, false},
		"inside its number":  {first + "id", 1, false},
		"inside its version": {first + second[:len(second)-1], 1, false},
		"another request's":  {first + platformtest.EventText(2, "d", "v1", 0), 2, true},
		"JSON":               {first + `{"error": "busy"}`, 1, true},
		"a line of text":     {first + "busy\n\n" + second, 2, true},
		"text in an event":   {first + second[:20] + "<p>busy</p>\n" + second, 2, true},
		"text after the end": {first + second + "id", 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, err := range []error{io.EOF, io.ErrUnexpectedEOF} {
				c := &call{id: "c", expectedEvents: 2}
				c.readEvents(io.MultiReader(strings.NewReader(test.text), failingReader{err}), -1)
				require.Equal(t, test.events, c.events)
				require.Equal(t, test.foreign, c.foreign != "", c.foreign)
				require.Equal(t, err == io.EOF, c.complete)
				require.Empty(t, c.orderError)
			}
		})
	}
}

// TestEarlyEndsBindNewBuilds checks that VMs of the build in production are excused from early ends only where a target used
// neither length nor chunks or went on wrongly.
func TestEarlyEndsBindNewBuilds(t *testing.T) {
	chunked := run
	chunked.Framing = platformtest.FramingChunks
	for name, test := range map[string]struct {
		production, wrong bool
		run               platformtest.Run
		violated          bool
	}{
		"new build":                        {false, true, unframedRun, true},
		"earlier build":                    {true, false, unframedRun, false},
		"earlier build, in chunks":         {true, false, chunked, true},
		"earlier build, wrong next target": {true, true, chunked, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{vms: threeVMs(), wrongContinuations: make(map[string]string)}
			h.vms[0].builds = []buildPeriod{{from: at(0), isProduction: test.production}}
			if test.wrong {
				h.wrongContinuations["c"] = "json"
			}
			c := completeCall()
			c.events--
			require.Equal(t, test.violated, len(h.violatedGuarantees(c, []platformtest.Run{test.run})) > 0)
		})
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
