package org.cicadaford.platform.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import java.net.URI;
import java.util.List;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.MembershipService;
import org.cicadaford.platform.MembershipUnavailableException;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformRoutes.MemberList;
import org.cicadaford.platform.PlatformSettings;

/** Client of the membership list over HTTP. */
public final class HttpMembershipService implements MembershipService {

  private final HttpSender sender;
  private final PlatformSettings settings;

  /** Creates a client of the list that {@code settings} name. */
  public HttpMembershipService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public List<Member> list() throws MembershipUnavailableException {
    byte[] body = HttpSender.bodyOf(send(HttpRequest.GET(address()), "use the last list"));
    try {
      return RecordCodec.decode(body, MemberList.class).members();
    } catch (MalformedRecordException e) {
      throw new MembershipUnavailableException(
          "the membership list is malformed; check the platform's version", e);
    }
  }

  @Override
  public void announce(Member member) throws MembershipUnavailableException {
    send(
        HttpRequest.POST(address(), RecordCodec.encode(member))
            .contentType(PlatformRoutes.MESSAGE_PACK),
        "announce again");
  }

  private HttpResponse<byte[]> send(MutableHttpRequest<?> request, String remedy)
      throws MembershipUnavailableException {
    try {
      HttpResponse<byte[]> response = sender.sendAndWait(request, settings.requestTimeoutMillis());
      if (response.code() / 100 == 2) {
        return response;
      }
      throw new MembershipUnavailableException(
          "the membership list answered with status " + response.code() + "; " + remedy, null);
    } catch (RequestFailedException e) {
      throw new MembershipUnavailableException("the membership list did not answer; " + remedy, e);
    }
  }

  private URI address() {
    return HttpSender.address(settings.logHost(), settings.logPort(), PlatformRoutes.MEMBERS, null);
  }
}
