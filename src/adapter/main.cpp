// Reads batches from standard input and writes one reply to each on standard output, until input ends.
#include <iostream>
#include <string>

#include "adapter/simulator_adapter.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    valekeel::adapter::SimulatorAdapter wire;
    std::string line;
    for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
        try {
            std::cout << wire.reply(line) << '\n' << std::flush;
        } catch (const std::exception& e) {
            std::cerr << "valekeel_wirehost: line " << number << ": " << e.what() << std::endl;
            return 1;
        }
    }
    return 0;
}
