// The simulator's host process: reads batches of events from standard input, one a line, and writes one reply
// to each on standard output, until the input ends. Exits with 1 at a malformed batch.
#include <iostream>
#include <string>

#include "adapter/simulator_adapter.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    valekeel::adapter::SimulatorAdapter adapter;
    std::string line;
    for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
        try {
            std::cout << adapter.reply(line) << '\n' << std::flush;
        } catch (const std::exception& e) {
            std::cerr << "valekeel_wirehost: line " << number << ": " << e.what() << std::endl;
            return 1;
        }
    }
    return 0;
}
