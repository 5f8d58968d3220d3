package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// poisonBody marks the request that crashes each sampler that runs it.
	poisonBody = "a prompt that crashes samplers"
	poisonPath = "/talk/poison"
	// mostRetries is how often such a request may reach samplers later than contact_ms after it has
	// crashed the third.
	mostRetries = 3
)

// crashOn returns a behaviour that streams events. The poisonous request crashes the sampler after
// its first event.
func (l *lab) crashOn(event int) behaviour {
	return func(s *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
		poisonous := l.trouble && bytes.Contains(body, []byte(poisonBody))
		stream(w, r, 8, 30*time.Millisecond, 30*time.Millisecond, func(n int) {
			if poisonous && n == event {
				s.crash()
			}
		})
	}
}

// judgeRetries counts the runs of the poisonous request later than contact_ms after it has
// crashed its third sampler, and judges them. All hosts are in touch then.
func (l *lab) judgeRetries() error {
	crashes := l.crashTimes()
	if len(crashes) < mostRetries {
		l.logf("%d crashes", len(crashes))
		return nil
	}
	from := crashes[2].Add(contact)
	late := l.arrivals(func(r run) bool { return r.path == poisonPath && r.at.After(from) })
	l.logf("%d crashes; %d retries reached samplers later than %v after the third one, at most %d may", len(crashes), len(late), contact, mostRetries)
	if len(late) > mostRetries {
		return errBroken
	}
	return nil
}

// crashingStream sends a streaming request again and again that crashes each sampler after its
// first event.
func crashingStream(l *lab) error {
	for i := range 6 {
		if _, err := l.startSampler(fmt.Sprintf("s%d", i), pool, l.crashOn(0)); err != nil {
			return err
		}
	}
	if err := l.desire(1, nil, route("talk", "streaming", pool, 5*time.Second, 3)); err != nil {
		return err
	}
	if err := l.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	for n := range 20 {
		h := l.hosts[n%len(l.hosts)]
		q := request{method: "POST", path: poisonPath, id: fmt.Sprintf("poison-%d", n), deadline: 4 * time.Second, body: poisonBody}
		l.logf("request %s at %s: %v", q.id, h.name, ask(h.frontend(), q))
		time.Sleep(time.Second)
	}
	return l.judgeRetries()
}
