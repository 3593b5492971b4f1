// Package rrendpointslice holds the part of an EndpointSliceList that the project uses.
// Unknown fields are ignored.
package rrendpointslice

// ListPath of the list below the address of the service.
const ListPath = "/apis/discovery.k8s.io/v1/endpointslices"

// ServiceLabel is the label that names the service of a slice.
const ServiceLabel = "kubernetes.io/service-name"

// EntryService is the service whose endpoints are the entries themselves.
const EntryService = "rattanring"

// Annotations of a slice.
const (
	SlotsAnnotation        = "rattanring/slots"
	ConnsAnnotation        = "rattanring/conns"
	CoresAnnotation        = "rattanring/cores"  // thousandths
	MemoryAnnotation       = "rattanring/memory" // bytes
	AcceleratorsAnnotation = "rattanring/accels"
	RegionAnnotation       = "rattanring/region"
)

// EndpointSliceList is all slices.
type EndpointSliceList struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Items      []EndpointSlice `json:"items"`
}

// EndpointSlice is some endpoints of one service that share their ports and annotations.
type EndpointSlice struct {
	Metadata  Metadata   `json:"metadata"`
	Ports     []Port     `json:"ports"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Metadata names a slice and its service.
type Metadata struct {
	Name        string            `json:"name"`
	Labels      map[string]string `json:"labels"`
	Annotations map[string]string `json:"annotations,omitempty"`
}

// Port is where the endpoints listen.
type Port struct {
	Port int `json:"port"`
}

// Endpoint is one instance.
type Endpoint struct {
	Addresses  []string        `json:"addresses"`
	Conditions Conditions      `json:"conditions"`
	TargetRef  ObjectReference `json:"targetRef"`
	Zone       string          `json:"zone"`
}

// Conditions of an endpoint. A nil Ready counts as ready.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Terminating bool  `json:"terminating,omitempty"`
}

// ObjectReference names the instance.
type ObjectReference struct {
	Name string `json:"name"`
}
