// Command oleanderspar is a layer-4 load balancer and the tool to operate it.
package main

import (
	"context"
	"os"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparcli"
)

func main() {
	os.Exit(sparcli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
