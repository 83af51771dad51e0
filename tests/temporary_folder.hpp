// Folders of tests under the temporary folder, with the process in their names: tests of two copies of the
// project may run at the same time. They are removed when the process ends.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <set>
#include <string>

namespace valekeel {

// Returns the path; the caller creates the folder.
inline std::filesystem::path temporaryFolder(const std::string& name) {
    static struct Removal {
        std::set<std::filesystem::path> folders;
        ~Removal() {
            std::error_code ignored;
            for (const auto& folder : folders) std::filesystem::remove_all(folder, ignored);
        }
    } removal;
    const auto folder =
        std::filesystem::path(testing::TempDir()) / ("valekeel-" + name + "." + std::to_string(::getpid()));
    removal.folders.insert(folder);
    return folder;
}

}  // namespace valekeel
