package chart

import (
	"strings"
	"testing"
)

func TestEmbeddedCharts(t *testing.T) {
	if err := CheckAll(); err != nil {
		t.Fatal(err)
	}
	if n := len(Names()); n != 5 {
		t.Errorf("%d charts, want 5", n)
	}
}

func TestAllFindingsReported(t *testing.T) {
	bad := "[chart]\nname = x\ninitial = a\n[a]\ngo = b\n[c]\nfinal = true\nback = a\n[d]\n"
	_, err := Parse("x.ini", []byte(bad))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"no state \"b\"", "a final state has no events", "needs final = true", "no event leads"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in %v", want, err)
		}
	}
}

func TestOnlyUnwrittenAttemptsAreNotRun(t *testing.T) {
	m := MustLoad("attempt").Start()
	for _, e := range []Event{"grant", "connect", "write"} {
		if err := m.Fire(e); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Fire("give_up"); err == nil {
		t.Error("an attempt whose request was written ended as not run")
	}
	if err := m.Fire("lose"); err != nil || !m.Is("unknown") {
		t.Errorf("got %s, %v", m.State(), err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[chart]\nname = x\ninitial = a\n[a]\nfinal = true\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		if c, err := Parse("x.ini", body); err == nil && !c.Start().Is(c.initial) {
			t.Error("a machine does not start in the initial state")
		}
	})
}
