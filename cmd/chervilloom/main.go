// Command chervilloom is the whole system in one binary.
package main

import "fmt"

func main() {
	fmt.Println("chervilloom")
}
