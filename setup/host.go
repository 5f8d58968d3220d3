package setup

import "time"

type (
	// HostParts are the settings of a host on the prepared platform, as read.
	HostParts struct {
		// Name is unique in the fleet, Domain the failure domain.
		Name, Domain string
		// Callers, Ready, Resolver and Peers are addresses to listen on, empty
		// where the host doesn't serve them.
		Callers, Ready, Resolver, Peers string
		// Store is the address of the platform's object store.
		Store string
		// StoreValueBytes is the largest object of the store.
		StoreValueBytes int
		// Memory is the limit of the process, in bytes.
		Memory int64
		// Processor is the host's share of a core.
		Processor float64
		// AddressLifetime is the longest that a caller keeps an address answer.
		AddressLifetime time.Duration
		// Grace is the time from SIGTERM to SIGKILL.
		Grace time.Duration
		// Lease and Thaw are how long the next giver of orders must wait.
		Lease, Thaw time.Duration
		// ConfigBound is how soon a configuration must be in force everywhere.
		ConfigBound time.Duration
		// Keep is how long results of a batch can be read.
		Keep time.Duration
	}

	// Host holds the checked settings of a host on the prepared platform.
	Host struct{ parts HostParts }
)

// NewHost wraps settings that were checked.
func NewHost(parts HostParts) *Host { return &Host{parts: parts} }

// Name returns the host's name, unique in the fleet.
func (h *Host) Name() string { return h.parts.Name }

// Domain returns the failure domain.
func (h *Host) Domain() string { return h.parts.Domain }

// Callers returns where callers connect, empty if they don't.
func (h *Host) Callers() string { return h.parts.Callers }

// Ready returns where the platform asks for readiness.
func (h *Host) Ready() string { return h.parts.Ready }

// Resolver returns where callers ask for addresses.
func (h *Host) Resolver() string { return h.parts.Resolver }

// Peers returns where other nodes connect.
func (h *Host) Peers() string { return h.parts.Peers }

// Store returns the address of the platform's object store.
func (h *Host) Store() string { return h.parts.Store }

// StoreValueBytes returns the largest object of the store, in bytes.
func (h *Host) StoreValueBytes() int { return h.parts.StoreValueBytes }

// Memory returns the memory limit in bytes.
func (h *Host) Memory() int64 { return h.parts.Memory }

// Processor returns the host's share of a core.
func (h *Host) Processor() float64 { return h.parts.Processor }

// AddressLifetime returns the longest that a caller keeps an address answer.
func (h *Host) AddressLifetime() time.Duration { return h.parts.AddressLifetime }

// Grace returns the time from SIGTERM to SIGKILL.
func (h *Host) Grace() time.Duration { return h.parts.Grace }

// Lease returns for how long a lease holds after it was renewed.
func (h *Host) Lease() time.Duration { return h.parts.Lease }

// Thaw returns what a new holder of a lease waits beyond its end.
func (h *Host) Thaw() time.Duration { return h.parts.Thaw }

// ConfigBound returns how soon a configuration must be in force everywhere.
func (h *Host) ConfigBound() time.Duration { return h.parts.ConfigBound }

// Keep returns how long results of a batch can be read.
func (h *Host) Keep() time.Duration { return h.parts.Keep }
