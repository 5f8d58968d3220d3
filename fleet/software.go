package fleet

import "time"

// softwareMemory is how long it is remembered that endpoints of a service had a software.
const softwareMemory = 5 * time.Minute

// softwareHistory holds which software the endpoints of one service have had lately.
type softwareHistory struct {
	// since is when the service's first endpoint was known.
	since time.Time
	// goneAt is when each software was last that of an endpoint which has changed it or is
	// gone.
	goneAt map[Software]time.Time
}

// SoleSoftware returns the software that all endpoints of a service have had for the given
// time, endpoints that leave or are gone included. It reports false if there were several,
// or if the endpoints have not been known for that long.
func (f *Fleet) SoleSoftware(service string, within time.Duration) (Software, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, now := f.software[service], f.now()
	if h == nil || now.Sub(h.since) < within || within > softwareMemory {
		return "", false
	}
	var sole Software
	single := true
	add := func(software Software, goneAt time.Time) {
		switch {
		case !goneAt.IsZero() && now.Sub(goneAt) > within:
		case sole == "":
			sole = software
		case sole != software:
			single = false
		}
	}
	for _, id := range f.membersOf(service) {
		e := f.endpoints[id]
		add(e.entry.Software(), e.removeAt)
	}
	for software, goneAt := range h.goneAt {
		add(software, goneAt)
	}
	if !single {
		return "", false
	}
	return sole, sole != ""
}

// recordKnown records that an endpoint of a service is known. The caller holds the lock.
func (f *Fleet) recordKnown(service string) {
	if f.software[service] == nil {
		f.software[service] = &softwareHistory{since: f.now(), goneAt: make(map[Software]time.Time)}
	}
}

// recordGone records until when an endpoint had the software of its entry. The caller
// holds the lock.
func (f *Fleet) recordGone(entry Entry, at time.Time) {
	h := f.software[entry.Service]
	software := entry.Software()
	if at.After(h.goneAt[software]) {
		h.goneAt[software] = at
	}
	for old, goneAt := range h.goneAt {
		if f.now().Sub(goneAt) > softwareMemory {
			delete(h.goneAt, old)
		}
	}
}
