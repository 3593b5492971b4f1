// Package rrendpointslice defines the part of Kubernetes' EndpointSliceList that the
// project uses. Decoding ignores unknown fields.
package rrendpointslice

// ListPath is the URL path of the list.
const ListPath = "/apis/discovery.k8s.io/v1/endpointslices"

// ServiceLabel is the label that names the service of a slice.
const ServiceLabel = "kubernetes.io/service-name"

// EntryService is the service whose endpoints are entries, not minions.
const EntryService = "rattanring"

// Annotations of a slice.
const (
	SlotsAnnotation        = "rattanring/slots"  // tasks that each minion runs at a time
	ConnsAnnotation        = "rattanring/conns"  // connections that each minion accepts
	CoresAnnotation        = "rattanring/cores"  // in thousandths of a core
	MemoryAnnotation       = "rattanring/memory" // in bytes
	AcceleratorsAnnotation = "rattanring/accels" // number
	RegionAnnotation       = "rattanring/region" // of entries
)

// EndpointSliceList is the list of all slices.
type EndpointSliceList struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Items      []EndpointSlice `json:"items"`
}

// EndpointSlice is a group of endpoints of one service with the same ports and
// annotations.
type EndpointSlice struct {
	Metadata  Metadata   `json:"metadata"`
	Ports     []Port     `json:"ports"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Metadata holds the name, labels and annotations of a slice. The label
// ServiceLabel names its service.
type Metadata struct {
	Name        string            `json:"name"`
	Labels      map[string]string `json:"labels"`
	Annotations map[string]string `json:"annotations,omitempty"`
}

// Port is a port on which the endpoints listen.
type Port struct {
	Port int `json:"port"`
}

// Endpoint is one instance, a minion or an entry.
type Endpoint struct {
	Addresses  []string        `json:"addresses"`
	Conditions Conditions      `json:"conditions"`
	TargetRef  ObjectReference `json:"targetRef"`
	Zone       string          `json:"zone"`
}

// Conditions is the state of an endpoint. A nil Ready means ready.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Terminating bool  `json:"terminating,omitempty"`
}

// ObjectReference names the instance.
type ObjectReference struct {
	Name string `json:"name"`
}
