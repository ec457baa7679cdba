// Command sparstand runs the fakes for what surrounds the product, each as a process of its
// own: the platform, the fabric, an upstream and clients.
package main

import (
	"context"
	"os"

	"github.com/oleanderspar/oleanderspar/internal/stand/sparstand"
)

func main() {
	os.Exit(sparstand.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
