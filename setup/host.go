package setup

import "time"

type (
	// HostParts holds the parsed settings of a host on the prepared platform.
	HostParts struct {
		// Name is unique in the fleet, Domain the failure domain.
		Name, Domain string
		// Callers, Ready, Resolver and Peers are listen addresses for callers,
		// readiness checks, address lookups and other nodes; empty where the
		// host serves none.
		Callers, Ready, Resolver, Peers string
		// Store is the address of the platform's object store.
		Store string
		// StoreValueBytes is the largest size of an object in the store.
		StoreValueBytes int
		// Memory is the memory limit of the process, in bytes.
		Memory int64
		// Processor is the CPU quota of the host, in cores.
		Processor float64
		// AddressLifetime is how long callers may cache looked-up addresses.
		AddressLifetime time.Duration
		// Grace is the time from SIGTERM to SIGKILL.
		Grace time.Duration
		// Lease is the duration of the order sender's lease. Thaw is how long
		// the next holder waits after the lease has expired.
		Lease, Thaw time.Duration
		// ConfigBound is the time limit for a configuration to be in force at
		// all hosts.
		ConfigBound time.Duration
		// Keep is how long the results of a batch can be read.
		Keep time.Duration
	}

	// Host holds the checked settings of a host on the prepared platform.
	Host struct{ config HostParts }
)

// NewHost returns a Host of settings that the caller has checked.
func NewHost(config HostParts) *Host { return &Host{config: config} }

// Name returns the host's name, unique in the fleet.
func (h *Host) Name() string { return h.config.Name }

// Domain returns the failure domain.
func (h *Host) Domain() string { return h.config.Domain }

// Callers returns the listen address for callers, empty if there is none.
func (h *Host) Callers() string { return h.config.Callers }

// Ready returns the listen address for the platform's readiness checks.
func (h *Host) Ready() string { return h.config.Ready }

// Resolver returns the listen address for callers' address lookups.
func (h *Host) Resolver() string { return h.config.Resolver }

// Peers returns the listen address for other nodes.
func (h *Host) Peers() string { return h.config.Peers }

// Store returns the address of the platform's object store.
func (h *Host) Store() string { return h.config.Store }

// StoreValueBytes returns the largest size of an object in the store.
func (h *Host) StoreValueBytes() int { return h.config.StoreValueBytes }

// Memory returns the memory limit in bytes.
func (h *Host) Memory() int64 { return h.config.Memory }

// Processor returns the CPU quota of the host, in cores.
func (h *Host) Processor() float64 { return h.config.Processor }

// AddressLifetime returns how long callers may cache looked-up addresses.
func (h *Host) AddressLifetime() time.Duration { return h.config.AddressLifetime }

// Grace returns the time from SIGTERM to SIGKILL.
func (h *Host) Grace() time.Duration { return h.config.Grace }

// Lease returns how long a lease is valid after its renewal.
func (h *Host) Lease() time.Duration { return h.config.Lease }

// Thaw returns how long the next holder waits after a lease has expired.
func (h *Host) Thaw() time.Duration { return h.config.Thaw }

// ConfigBound returns the time limit for a configuration to be in force at all
// hosts.
func (h *Host) ConfigBound() time.Duration { return h.config.ConfigBound }

// Keep returns how long the results of a batch can be read.
func (h *Host) Keep() time.Duration { return h.config.Keep }
