package specs

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"github.com/currantloft/currantloft/finds"
)

const (
	defaultWindow      = 8
	defaultSwitchShare = 25
	defaultOrderLimit  = time.Minute
	defaultTimeout     = 10 * time.Second
	defaultProgress    = time.Second
	defaultMaxBody     = 64 << 10
	defaultStepTimeout = 5 * time.Minute
	defaultMaxAge      = 30 * time.Minute
	defaultMaxTokens   = 1024
	defaultIdleLimit   = time.Hour
	defaultScorerLimit = 10 * time.Second
	maxPercent         = 100
	maxGroups          = 4096
	maxSamples         = 64
	maxStepSamples     = 16384
)

var knownKeys = map[string][]string{
	"pool":     {"model", "serve", "stage", "window", "switch_share", "order_limit"},
	"endpoint": {"pool", "service", "url", "domain", "fencing"},
	"service":  {"pool", "timeout", "progress_timeout", "idempotent", "max_body", "window"},
	"trainer": {
		"pool", "scorer", "groups", "samples", "over_sample", "max_tokens", "step_timeout",
		"accept", "max_versions_behind", "max_age", "weight", "idle_limit",
	},
	"scorer": {"url", "timeout"},
}

type (
	// section reads typed values and notes findings at their place.
	section struct {
		id    string
		name  string
		ini   *ini.Section
		index *lineIndex
		list  *finds.List
	}

	// part is what one file declares.
	part struct {
		set     *Set
		origins map[string]*section
		list    finds.List
	}

	fileKey struct {
		name string
		body string
	}

	// Parser parses sets and reuses what it read of files that did not change.
	// It is safe for concurrent use.
	Parser struct {
		mu    sync.Mutex
		known map[fileKey]*part
	}
)

// Parse reads and checks a whole set.
func Parse(files []File) (*Set, error) { return NewParser().Parse(files) }

// NewParser returns a parser that remembers nothing yet.
func NewParser() *Parser { return &Parser{known: make(map[fileKey]*part)} }

// Parse reads and checks a whole set; files that the last set had are not read
// again.
func (p *Parser) Parse(files []File) (*Set, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := newSet()
	var list finds.List
	origins := make(map[string]*section)
	seen := make(map[fileKey]*part, len(files))
	for _, file := range files {
		key := fileKey{name: file.Name(), body: string(file.Body())}
		one := p.known[key]
		if one == nil {
			one = parseFile(file)
		}
		seen[key] = one
		set.merge(one, origins, &list)
	}
	p.known = seen
	set.checkReferences(origins, &list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

func newSet() *Set {
	return &Set{
		pools:     make(map[string]Pool),
		endpoints: make(map[string]Endpoint),
		services:  make(map[string]Service),
		trainers:  make(map[string]Trainer),
		scorers:   make(map[string]Scorer),
		raw:       make(map[string]map[string]string),
	}
}

// merge adds what one file declares; what stands in two files is a finding.
func (s *Set) merge(one *part, origins map[string]*section, list *finds.List) {
	list.Join(&one.list)
	for id, here := range one.origins {
		if first, ok := origins[id]; ok {
			list.Add(here.place(""), "[%s] stands twice, first at %s", id, first.place(""))
			continue
		}
		origins[id] = here
	}
	maps.Copy(s.pools, one.set.pools)
	maps.Copy(s.endpoints, one.set.endpoints)
	maps.Copy(s.services, one.set.services)
	maps.Copy(s.trainers, one.set.trainers)
	maps.Copy(s.scorers, one.set.scorers)
	maps.Copy(s.raw, one.set.raw)
}

// parseFile reads one file to its end.
func parseFile(file File) *part {
	one := &part{set: newSet(), origins: make(map[string]*section)}
	index := indexLines(file, &one.list)
	doc, err := ini.LoadSources(ini.LoadOptions{
		SkipUnrecognizableLines: true,
		IgnoreInlineComment:     true,
	}, file.Body())
	if err != nil {
		one.list.Add(finds.Place{File: file.Name()}, "not INI: %v", err)
		return one
	}
	for _, section := range doc.Sections() {
		if section.Name() != ini.DefaultSection {
			one.parseSection(section, index)
		}
	}
	return one
}

func (o *part) parseSection(source *ini.Section, index *lineIndex) {
	id := strings.Join(strings.Fields(source.Name()), " ")
	kind, name, _ := strings.Cut(id, " ")
	r := &section{id: source.Name(), name: name, ini: source, index: index, list: &o.list}
	keys, ok := knownKeys[kind]
	if !ok {
		r.add("", "unknown section kind %q: want pool, endpoint, service, trainer or scorer", kind)
		return
	}
	if !validName(name) {
		r.add("", "want a name of letters, digits, _ and - after %q", kind)
		return
	}
	o.origins[id] = r
	values := make(map[string]string)
	for _, key := range source.Keys() {
		if !slices.Contains(keys, key.Name()) {
			r.add(key.Name(), "unknown key in [%s]: want one of %s", kind, strings.Join(keys, ", "))
		}
		values[key.Name()] = key.String()
	}
	o.set.raw[id] = values
	o.set.build(kind, r)
}

func (s *Set) build(kind string, r *section) {
	switch kind {
	case "pool":
		s.pools[r.name] = r.pool()
	case "endpoint":
		s.endpoints[r.name] = r.endpoint()
	case "service":
		s.services[r.name] = r.service()
	case "trainer":
		s.trainers[r.name] = r.trainer()
	case "scorer":
		s.scorers[r.name] = Scorer{
			name: r.name, url: r.address("url"), timeout: r.span("timeout", defaultScorerLimit),
		}
	}
}

func (r *section) pool() Pool {
	p := Pool{
		name:        r.name,
		model:       r.text("model", r.name),
		serve:       r.version("serve", 0),
		window:      r.number("window", defaultWindow, 1, 4096),
		switchShare: r.percent("switch_share", defaultSwitchShare),
		orderLimit:  r.span("order_limit", defaultOrderLimit),
	}
	p.stage = r.version("stage", p.serve)
	if p.stage < p.serve {
		r.add("stage", "want the served version %d or a later one, got %d", p.serve, p.stage)
	}
	return p
}

func (r *section) endpoint() Endpoint {
	e := Endpoint{
		name:    r.name,
		pool:    r.text("pool", ""),
		service: r.text("service", ""),
		url:     r.address("url"),
		domain:  r.text("domain", ""),
		fencing: Fencing(r.text("fencing", string(FencingChecked))),
	}
	if (e.pool == "") == (e.service == "") {
		r.add("pool", "want either pool or service")
	}
	if e.domain == "" {
		r.add("domain", "want the endpoint's failure domain")
	}
	if e.fencing != FencingChecked && e.fencing != FencingIgnored {
		r.add("fencing", "want checked or ignored, got %q", e.fencing)
	}
	return e
}

func (r *section) service() Service {
	s := Service{
		name:       r.name,
		pool:       r.text("pool", ""),
		timeout:    r.span("timeout", defaultTimeout),
		progress:   r.span("progress_timeout", defaultProgress),
		idempotent: r.flag("idempotent", true),
		maxBody:    r.size("max_body", defaultMaxBody),
		window:     r.number("window", defaultWindow, 1, 4096),
	}
	if s.progress > s.timeout {
		r.add("progress_timeout", "want at most the timeout %s, got %s", s.timeout, s.progress)
	}
	return s
}

func (r *section) trainer() Trainer {
	t := Trainer{
		name:        r.name,
		pool:        r.text("pool", ""),
		scorer:      r.text("scorer", ""),
		groups:      r.number("groups", 0, 1, maxGroups),
		samples:     r.number("samples", 0, 1, maxSamples),
		overSample:  r.number("over_sample", 0, 0, maxSamples),
		maxTokens:   r.number("max_tokens", defaultMaxTokens, 1, 1<<20),
		stepTimeout: r.span("step_timeout", defaultStepTimeout),
		maxBehind:   r.version("max_versions_behind", 0),
		maxAge:      r.span("max_age", defaultMaxAge),
		weight:      r.number("weight", 1, 1, maxPercent),
		idleLimit:   r.span("idle_limit", defaultIdleLimit),
	}
	t.acceptFrom, t.acceptTo = r.versionRange("accept")
	if t.groups*t.samples > maxStepSamples {
		r.add("groups", "want at most %d samples a step, got %d", maxStepSamples, t.groups*t.samples)
	}
	return t
}

func (r *section) add(key, format string, args ...any) {
	r.list.Add(r.place(key), format, args...)
}

func (r *section) place(key string) finds.Place { return r.index.place(r.id, key) }

func (r *section) text(key, fallback string) string {
	if value := r.ini.Key(key).String(); value != "" {
		return value
	}
	return fallback
}

func (r *section) number(key string, fallback, least, most int) int {
	text := r.text(key, "")
	if text == "" && fallback >= least {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < least || value > most {
		r.add(key, "want a whole number from %d to %d, got %q", least, most, text)
		return least
	}
	return value
}

func (r *section) version(key string, fallback uint64) uint64 {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.add(key, "want a whole number, got %q", text)
	}
	return value
}

// versionRange reads "7", "5-9", "5-" or "any".
func (r *section) versionRange(key string) (from, to uint64) {
	const last = ^uint64(0)
	text := r.text(key, "any")
	if text == "any" {
		return 0, last
	}
	low, high, ranged := strings.Cut(text, "-")
	from, err := strconv.ParseUint(strings.TrimSpace(low), 10, 64)
	to = from
	if ranged && strings.TrimSpace(high) == "" {
		to = last
	} else if ranged && err == nil {
		to, err = strconv.ParseUint(strings.TrimSpace(high), 10, 64)
	}
	if err != nil || to < from {
		r.add(key, "want any, a version such as 7 or a range such as 5-9 or 5-, got %q", text)
		return 0, 0
	}
	return from, to
}

func (r *section) percent(key string, fallback int) int {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(strings.TrimSuffix(text, "%"))
	if err != nil || !strings.HasSuffix(text, "%") || value < 1 || value > maxPercent {
		r.add(key, "want a share such as 25%%, got %q", text)
		return fallback
	}
	return value
}

func (r *section) span(key string, fallback time.Duration) time.Duration {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		r.add(key, "want a duration such as 500ms, 10s or 5m, got %q", text)
		return fallback
	}
	return value
}

func (r *section) flag(key string, fallback bool) bool {
	switch text := r.text(key, ""); text {
	case "":
		return fallback
	case "true", "false":
		return text == "true"
	default:
		r.add(key, "want true or false, got %q", text)
		return fallback
	}
}

// size reads a number of bytes such as 65536, 64KiB or 1MiB.
func (r *section) size(key string, fallback int) int {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	units := map[string]int{"KiB": 1 << 10, "MiB": 1 << 20}
	digits, unit := text, 1
	for suffix, bytes := range units {
		if strings.HasSuffix(text, suffix) {
			digits, unit = strings.TrimSuffix(text, suffix), bytes
		}
	}
	value, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || value < 1 || value > 1<<20 {
		r.add(key, "want bytes, such as 4096, 64KiB or 1MiB, got %q", text)
		return fallback
	}
	return value * unit
}

func (r *section) address(key string) string {
	text := r.text(key, "")
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.add(key, "want an address such as http://127.0.0.1:9001, got %q", text)
	}
	return strings.TrimSuffix(text, "/")
}

func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
