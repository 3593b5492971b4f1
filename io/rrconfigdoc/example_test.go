package rrconfigdoc_test

import (
	"fmt"

	"rattanring/io/rrconfigdoc"
)

func ExampleDecode() {
	cfg, err := rrconfigdoc.Decode([]byte(`{"preset":"peak","tenants":[{"name":"ports","weight":2}]}`))
	fmt.Println(cfg.Preset, cfg.Tenants[0].Weight, cfg.ActiveThresholds().MaxBacklog, err)

	_, err = rrconfigdoc.Decode([]byte(`{"preset":"peak","tenants":[{"name":"ports","wait":2}]}`))
	fmt.Println(err)
	// Output:
	// peak 2 20s <nil>
	// tenants[0].wait: the key is unknown
}
