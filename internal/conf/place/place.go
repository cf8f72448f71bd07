// Package place says where a node runs: its VM, its failure domain, its
// addresses and the bounds of its deployment.
package place

import "time"

// Place is fixed for the life of a process, but for what a reload may change.
type Place struct {
	Node   string
	Domain string
	Region string
	IP     string
	// Domains maps every failure domain to its region.
	Domains map[string]string
	// Callers is where callers on the VM and the target itself send requests.
	Callers string
	// Gate is where other nodes send calls for the target.
	Gate string
	// Ready is where the deployment asks whether the node is ready.
	Ready string
	// Announce is where the target on the VM announces itself.
	Announce string
	// MeshPort and MetricsPort are free ports on IP.
	MeshPort    int
	MetricsPort int
	// TargetService names the service of the target on the VM.
	TargetService string
	// StoreAddress is where the platform's store is.
	StoreAddress string
	// Grace is how long after SIGTERM the process is killed.
	Grace time.Duration
	// RetryRatio and RetrySlack bound repeated sends to a service within
	// RetryWindow, over all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	MemoryBytes int64
}
