package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// permitLifetime is how long a permit may be used. It bounds what the hosts can
	// have in hand when all of them send at once.
	permitLifetime = 500 * time.Millisecond
	// wantLifetime is how long a wish for permits counts that is not repeated.
	wantLifetime = 300 * time.Millisecond
	// maxCount limits the permits asked for at once.
	maxCount = 16
	// minRate is used for lower limits. A request every five seconds is needed to
	// notice that a limit has ended.
	minRate = 0.2
	// retention is how long a limit is remembered that was not seen again. An endpoint
	// has another ID after each start, so the limit of one that is gone is never used.
	retention = 10 * time.Minute
	// ownShare is the part of a limit that all hosts' own shares make up. Hosts that are
	// cut off use them on top of what the allotter grants the others.
	ownShare = 0.15
	// maxOwnTime is how much of a host's own share adds up between two calls.
	maxOwnTime = 500 * time.Millisecond
)

type (
	// Fact is what a host knows of an endpoint's limit.
	Fact struct {
		Endpoint string
		Limit    Limit
		// Age is how long ago the endpoint stated it. Ages are compared rather than
		// times, since the hosts' clocks differ.
		Age time.Duration
	}

	// Need asks for permits.
	Need struct {
		Fact
		// Count is the number of permits wanted, 0 to report the limit only.
		Count int
	}

	// Grant answers a Need.
	Grant struct {
		Fact
		// Count is the number of permits granted.
		Count int
		// Next is when the next permit is expected, 0 if Count is not 0.
		Next time.Duration
	}

	// Status is the state of one endpoint's limit, for the dump.
	Status struct {
		Endpoint string `json:"endpoint"`
		Limit    Limit  `json:"limit"`
		// Permits counts the permits in hand, Debt the requests that were sent without
		// one because they can't wait.
		Permits int `json:"permits"`
		Debt    int `json:"debt"`
		// Sent counts the requests sent since the limit was named.
		Sent int `json:"sent"`
		// SeenMs is how long ago the endpoint named the limit, in milliseconds.
		SeenMs int64 `json:"seen_ms"`
	}

	// Book holds the limits that a host knows and its permits. It is safe for
	// concurrent use.
	Book struct {
		now      func() time.Time
		onChange func(endpoint string, from, to Limit)

		mu       sync.Mutex
		accounts map[string]*account
		changed  chan struct{}
		wanted   chan struct{}
	}

	// account is what a host knows of one endpoint. The book's lock guards it.
	account struct {
		limit  Limit
		seenAt time.Time
		sent   int
		// permits are in order of expiry.
		permits []permits
		debt    int
		wants   int
		wantsAt time.Time
		// nextAt is when the allotter expects to have the next permit.
		nextAt time.Time
		// own is what the host's own share has accrued at ownAt, while it is in use.
		own   float64
		ownAt time.Time
	}

	permits struct {
		count   int
		expires time.Time
	}
)

// NewBook returns an empty book. It calls onChange, if not nil, without its lock after
// an answer to this host has changed a limit.
func NewBook(now func() time.Time, onChange func(endpoint string, from, to Limit)) *Book {
	return &Book{
		now: now, onChange: onChange, accounts: make(map[string]*account),
		changed: make(chan struct{}), wanted: make(chan struct{}, 1),
	}
}

// OnChange sets the function to call after an answer has changed a limit. It is called
// before the book is used.
func (b *Book) OnChange(f func(endpoint string, from, to Limit)) { b.onChange = f }

// Observe records the limit, or its absence, in an endpoint's answer to a request that
// was sent at sentAt. A limit that is less strict than the known one counts only in the
// answer to a request that was sent after the known one was last named: answers to
// earlier requests may have been delayed.
func (b *Book) Observe(endpoint string, sentAt time.Time, limit Limit) {
	b.mu.Lock()
	a := b.accounts[endpoint]
	if a == nil && !limit.named {
		b.mu.Unlock()
		return
	}
	if a == nil {
		a = b.open(endpoint)
	}
	from := a.limit
	if from.StricterThan(limit) && !sentAt.After(a.seenAt) {
		b.mu.Unlock()
		return
	}
	seenAt := b.now()
	if from.StricterThan(limit) {
		// The endpoint may have set a limit since.
		seenAt = sentAt
	}
	a.set(limit, seenAt)
	if limit != from {
		b.notifyChange()
	}
	b.mu.Unlock()
	if limit != from && b.onChange != nil {
		b.onChange(endpoint, from, limit)
	}
}

// Learn records what another host knows of a limit, unless this host knows something
// newer. It reports whether the limit has changed.
func (b *Book) Learn(fact Fact) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, seenAt := b.accounts[fact.Endpoint], b.now().Add(-fact.Age)
	if a == nil && !fact.Limit.named || a != nil && !seenAt.After(a.seenAt) || fact.Age > retention {
		return false
	}
	if a == nil {
		a = b.open(fact.Endpoint)
	}
	changed := a.limit != fact.Limit
	a.set(fact.Limit, seenAt)
	if changed {
		b.notifyChange()
	}
	return changed
}

// open returns a new account and drops those that are out of date. The caller holds
// the lock.
func (b *Book) open(endpoint string) *account {
	now := b.now()
	maps.DeleteFunc(b.accounts, func(_ string, a *account) bool { return now.Sub(a.seenAt) > retention })
	a := &account{}
	b.accounts[endpoint] = a
	return a
}

func (a *account) set(limit Limit, seenAt time.Time) {
	if !limit.named {
		*a = account{}
	}
	a.limit, a.seenAt = limit, seenAt
}

// limited returns the account of an endpoint with a limit, nil if it has none. The
// caller holds the lock.
func (b *Book) limited(endpoint string) *account {
	if a := b.accounts[endpoint]; a != nil && a.limit.named {
		return a
	}
	return nil
}

// Fact returns what this host knows of an endpoint's limit.
func (b *Book) Fact(endpoint string) Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[endpoint]; a != nil {
		return Fact{Endpoint: endpoint, Limit: a.limit, Age: b.now().Sub(a.seenAt)}
	}
	return Fact{Endpoint: endpoint, Age: retention}
}

// Facts returns what this host knows of all endpoints with a limit.
func (b *Book) Facts() []Fact {
	b.mu.Lock()
	defer b.mu.Unlock()
	var facts []Fact
	for _, endpoint := range slices.Sorted(maps.Keys(b.accounts)) {
		if a := b.accounts[endpoint]; a.limit.named {
			facts = append(facts, Fact{Endpoint: endpoint, Limit: a.limit, Age: b.now().Sub(a.seenAt)})
		}
	}
	return facts
}

// Permits returns how many requests may be sent to an endpoint now, Unlimited if it
// has no limit.
func (b *Book) Permits(endpoint string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.limited(endpoint)
	if a == nil {
		return Unlimited
	}
	return a.held(b.now())
}

// Take takes a permit for one request. It returns false if there is none.
func (b *Book) Take(endpoint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.limited(endpoint)
	if a == nil {
		return true
	}
	if a.held(b.now()) == 0 {
		return false
	}
	a.sent++
	a.spend()
	return true
}

// Spend records a request that is sent without waiting for a permit. The next permits
// make up for it.
func (b *Book) Spend(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.limited(endpoint)
	if a == nil {
		return
	}
	a.sent++
	if a.held(b.now()) > 0 {
		a.spend()
		return
	}
	a.debt = min(a.debt+1, maxCount)
	b.notifyWant()
}

// Want asks for permits beyond those in hand, until the wish is wantLifetime old. A
// later call replaces a smaller wish.
func (b *Book) Want(endpoint string, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, now := b.limited(endpoint), b.now()
	if a == nil || count <= 0 {
		return
	}
	if now.Sub(a.wantsAt) > wantLifetime {
		a.wants = 0
	}
	a.wants, a.wantsAt = max(a.wants, min(count, maxCount)), now
	b.notifyWant()
}

// Needs returns the permits to ask the allotters for now.
func (b *Book) Needs() []Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var needs []Need
	for _, endpoint := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[endpoint]
		if !a.limit.named || now.Before(a.nextAt) {
			continue
		}
		count := a.debt
		if now.Sub(a.wantsAt) <= wantLifetime {
			count += max(0, a.wants-a.held(now))
		}
		if count > 0 {
			needs = append(needs, Need{Fact: Fact{Endpoint: endpoint, Limit: a.limit, Age: now.Sub(a.seenAt)}, Count: min(count, maxCount)})
		}
	}
	return needs
}

// Apply records an allotter's answer.
func (b *Book) Apply(grant Grant) {
	b.Learn(grant.Fact)
	b.mu.Lock()
	defer b.mu.Unlock()
	a, now := b.limited(grant.Endpoint), b.now()
	if a == nil {
		return
	}
	a.own, a.ownAt, a.nextAt = 0, time.Time{}, now.Add(grant.Next)
	a.add(grant.Count, now)
	b.notifyChange()
}

// UseOwnShare lets a host that can't reach the allotter use its own share of the limit,
// one of as many as there are hosts. It accrues from the first call on.
func (b *Book) UseOwnShare(endpoint string, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, now := b.limited(endpoint), b.now()
	if a == nil || hosts <= 0 {
		return
	}
	share := ownShare * a.limit.rate / float64(hosts)
	if !a.ownAt.IsZero() {
		a.own += share * min(now.Sub(a.ownAt), maxOwnTime).Seconds()
	}
	a.ownAt, a.nextAt = now, time.Time{}
	count := int(a.own)
	if count == 0 {
		return
	}
	a.own -= float64(count)
	a.add(count, now)
	b.notifyChange()
}

// Wanting reports whether any permits are wanted, also those that are not expected yet.
func (b *Book) Wanting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, a := range b.accounts {
		if a.limit.named && (a.debt > 0 || a.wants > 0 && now.Sub(a.wantsAt) <= wantLifetime) {
			return true
		}
	}
	return false
}

// NextPermit returns when the endpoint's next permit is expected, 0 if that is not
// known.
func (b *Book) NextPermit(endpoint string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.limited(endpoint); a != nil {
		return max(0, a.nextAt.Sub(b.now()))
	}
	return 0
}

// Changed returns a channel that is closed when permits are granted or a limit
// changes.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Wanted returns a channel that receives a value after Want or Spend.
func (b *Book) Wanted() <-chan struct{} { return b.wanted }

// Dump returns the limits in force, by endpoint.
func (b *Book) Dump() []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := []Status{}
	for _, endpoint := range slices.Sorted(maps.Keys(b.accounts)) {
		if a := b.accounts[endpoint]; a.limit.named {
			list = append(list, Status{
				Endpoint: endpoint, Limit: a.limit, Permits: a.held(now), Debt: a.debt, Sent: a.sent, SeenMs: now.Sub(a.seenAt).Milliseconds(),
			})
		}
	}
	return list
}

func (b *Book) notifyChange() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Book) notifyWant() {
	select {
	case b.wanted <- struct{}{}:
	default:
	}
}

// held returns the number of permits in hand and drops those that have expired.
func (a *account) held(now time.Time) int {
	a.permits = slices.DeleteFunc(a.permits, func(p permits) bool { return !now.Before(p.expires) })
	total := 0
	for _, p := range a.permits {
		total += p.count
	}
	return total
}

// add adds permits, of which debts are paid first.
func (a *account) add(count int, now time.Time) {
	paid := min(a.debt, count)
	a.debt -= paid
	if count > paid {
		a.permits = append(a.permits, permits{count: count - paid, expires: now.Add(permitLifetime)})
	}
}

// spend uses the permit that expires first. The caller has checked that there is one.
func (a *account) spend() {
	a.permits[0].count--
	if a.permits[0].count == 0 {
		a.permits = a.permits[1:]
	}
	a.wants = max(0, a.wants-1)
}
