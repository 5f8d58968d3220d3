package usage

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestReporterFailsAtEachStep kills, suspends and cuts off the reporting host at each of
// its steps. It guards against windows that are reported late, twice with different counts,
// or not at all, and against two holders that act at the same time.
func TestReporterFailsAtEachStep(t *testing.T) {
	// Lost is for how long the host's requests may be missing: its last second, and as long
	// as it is cut off.
	faults := map[string]struct {
		fail func(h *testHost)
		lost time.Duration
	}{
		"killed":            {func(h *testHost) { h.kill() }, 1300 * time.Millisecond},
		"suspended":         {func(h *testHost) { h.suspend(8 * time.Second) }, 1300 * time.Millisecond},
		"suspended briefly": {func(h *testHost) { h.suspend(time.Second) }, 1300 * time.Millisecond},
		"cut off":           {func(h *testHost) { h.setCut(true) }, time.Minute},
		"cut off briefly":   {func(h *testHost) { h.cut(4 * time.Second) }, 5 * time.Second},
	}
	for stepName, at := range steps {
		for faultName, fault := range faults {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 5)
					defer c.close()
					time.Sleep(20 * time.Second)
					failed := false
					c.mu.Lock()
					c.onStep = func(h *testHost, s step) {
						c.mu.Lock()
						fails := !failed && s == at && h.Name == "edge-0" || !failed && at == stepGather && s == at
						failed = failed || fails
						target := c.hosts["edge-0"]
						c.mu.Unlock()
						if fails {
							fault.fail(target)
						}
					}
					c.mu.Unlock()
					time.Sleep(40 * time.Second)
					c.mu.Lock()
					reached := failed
					c.mu.Unlock()
					if !reached {
						t.Fatal("the step was not reached")
					}
					c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, uint64(fault.lost/beganInterval))
				})
			})
		}
	}
}

// TestPlatformDoesNotAnswer guards against windows that are lost while the platform's API
// does not answer, or rejects calls, for three windows. They are reported once it does.
func TestPlatformDoesNotAnswer(t *testing.T) {
	for name, status := range map[string]int{"silent": 0, "too many calls": http.StatusTooManyRequests, "failing": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5)
				defer c.close()
				time.Sleep(20 * time.Second)
				c.setStatus(status)
				const outage = 3 * testLength
				time.Sleep(outage)
				c.setStatus(http.StatusOK)
				time.Sleep(30 * time.Second)
				c.checkReported(c.start, time.Now().Add(-reportBound), reportBound+outage, 0)
			})
		})
	}
}

// TestReporterCutOffFromPlatform guards against a reporting host that keeps its lease
// although only other hosts reach the platform's API.
func TestReporterCutOffFromPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		defer c.close()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		c.hosts["edge-0"].cutFromAPI = true
		c.mu.Unlock()
		time.Sleep(60 * time.Second)
		c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, 0)
	})
}

// TestAllHostsDie guards against windows that are never reported, or twice with different
// counts, if all hosts die at a step of the reporting host and start again.
func TestAllHostsDie(t *testing.T) {
	for name, at := range steps {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				defer c.close()
				time.Sleep(21 * time.Second)
				dying := make(chan struct{})
				c.mu.Lock()
				c.onStep = func(_ *testHost, s step) {
					c.mu.Lock()
					defer c.mu.Unlock()
					if s != at {
						return
					}
					c.onStep = func(*testHost, step) {}
					for _, h := range c.hosts {
						h.cutOff = true
						h.stop()
					}
					close(dying)
				}
				c.mu.Unlock()
				<-dying
				diedAt := time.Now()
				time.Sleep(2 * time.Second)
				for _, name := range []string{"edge-0", "edge-1", "edge-2", "edge-3"} {
					c.startHost(name)
				}
				time.Sleep(40 * time.Second)
				// The counts of windows that were not decided are lost.
				lost := uint64(len(c.hosts)) * uint64(2*testLength/beganInterval)
				c.checkReported(c.start, diedAt.Truncate(testLength), reportBound+2*time.Second, lost)
				c.checkReported(diedAt.Truncate(testLength), time.Now().Add(-reportBound), reportBound+2*time.Second, lost)
			})
		})
	}
}

// TestHostsDieAndStart guards against counts of hosts that die, beyond their last second,
// and against those of a process that are lost when its host starts again.
func TestHostsDieAndStart(t *testing.T) {
	for _, name := range []string{"edge-0", "edge-1", "edge-4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5)
				defer c.close()
				time.Sleep(22500 * time.Millisecond)
				c.hosts[name].kill()
				time.Sleep(7 * time.Second)
				c.startHost(name)
				time.Sleep(30 * time.Second)
				c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, uint64(1300*time.Millisecond/beganInterval))
			})
		})
	}
}

// TestHostStops guards against counts that a host which stops in an orderly way does not
// pass on.
func TestHostStops(t *testing.T) {
	for _, name := range []string{"edge-0", "edge-4"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 5)
				defer c.close()
				time.Sleep(22700 * time.Millisecond)
				c.hosts[name].stop()
				time.Sleep(time.Second)
				c.hosts[name].setCut(true)
				time.Sleep(30 * time.Second)
				c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, 0)
			})
		})
	}
}

// TestOldWindowsAreRemoved guards against objects of windows that stay in the store.
func TestOldWindowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		time.Sleep(150 * time.Second)
		c.hosts["edge-0"].kill()
		time.Sleep(150 * time.Second)
		if windows := len(c.store.Names(kindWindows)); windows > int(retention/testLength)+2 {
			t.Errorf("%d windows are in the store after 300 s, want those of %v", windows, retention)
		}
	})
}

// TestReporterSuspendedForLong suspends the reporting host, of five and alone, until the
// decided counts are removed from the store. It guards against reports of windows that
// another host could have reported with other counts.
func TestReporterSuspendedForLong(t *testing.T) {
	for name, at := range steps {
		for _, hosts := range []int{1, 5} {
			if hosts == 1 && at == stepGather {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d hosts", name, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { suspendForLong(t, hosts, at) })
			})
		}
	}
}

func suspendForLong(t *testing.T, hosts int, at step) {
	c := newCluster(t, hosts)
	defer c.close()
	time.Sleep(21 * time.Second)
	c.mu.Lock()
	c.onStep = func(h *testHost, s step) {
		c.mu.Lock()
		suspended := s == at && (h.Name == "edge-0" || at == stepGather)
		if suspended {
			c.onStep = func(*testHost, step) {}
		}
		target := c.hosts["edge-0"]
		c.mu.Unlock()
		if suspended {
			target.suspend(retention + 10*time.Second)
		}
	}
	c.mu.Unlock()
	time.Sleep(retention + 30*time.Second)
	if hosts > 1 {
		c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, uint64(1300*time.Millisecond/beganInterval))
	}
}

// An object that names no window of the past must not make all later ones count as reported.
func TestOddWindowEndsNoReports(t *testing.T) {
	const later = "later"
	for _, name := range []string{later, "9223372036854775807", "9999999999", "-9223372036854775808", "-7", "1e99", "odd"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 0)
				defer c.close()
				if name == later {
					name = fmt.Sprint(windowAt(time.Now(), testLength) + 1000)
				}
				if _, err := c.store.Create(t.Context(), kindWindows, name, []byte("?")); err != nil {
					t.Fatal(err)
				}
				for i := range 3 {
					c.startHost(fmt.Sprintf("edge-%d", i))
				}
				time.Sleep(40 * time.Second)
				c.checkReported(c.start, time.Now().Add(-reportBound), reportBound, 0)
			})
		})
	}
}
