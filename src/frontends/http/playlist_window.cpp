#include "frontends/http/playlist_window.hpp"

#include <algorithm>
#include <map>

namespace valekeel::frontends {

void PlaylistWindow::extend(Micros played, int rung, const std::vector<Micros>& durations) {
    while (next_ < durations.size() && nextStart_ <= played + settings_.ahead) {
        listed_.push_back({next_, rung});
        nextStart_ += durations[next_];
        ++next_;
    }
    while (listed_.size() > 1 && listed_.front().no < lastFetched_) {
        const Micros end = firstStart_ + durations[listed_.front().no];
        if (end >= played - settings_.behind) break;
        firstStart_ = end;
        listed_.pop_front();
    }
}

const PlaylistWindow::Listed* PlaylistWindow::find(std::uint64_t no) const {
    if (listed_.empty() || no < listed_.front().no || no > listed_.back().no) return nullptr;
    return &listed_[no - listed_.front().no];
}

hls::MediaPlaylist PlaylistWindow::playlist(const std::vector<Micros>& durations) const {
    hls::MediaPlaylist out;
    std::map<int, int> mapIndexByRung;
    for (const Micros d : durations) out.targetDuration = std::max(out.targetDuration, d);
    if (!listed_.empty()) out.mediaSequence = listed_.front().no;
    int last = -1;
    for (const Listed& listed : listed_) {
        hls::Segment s;
        s.uri = std::to_string(listed.no) + ".m4s";
        s.duration = durations[listed.no];
        const auto [it, fresh] = mapIndexByRung.try_emplace(listed.rung, static_cast<int>(out.maps.size()));
        if (fresh) out.maps.push_back({"init-" + std::to_string(listed.rung) + ".mp4", {}});
        s.map = it->second;
        s.discontinuity =
            last >= 0 && last != listed.rung;  // the encoding changes (RFC 8216, section 4.3.2.3)
        last = listed.rung;
        out.segments.push_back(std::move(s));
    }
    out.ended = next_ >= durations.size();
    return out;
}

}  // namespace valekeel::frontends
